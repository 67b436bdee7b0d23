package objectstore

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/objectstore"
)

// Get implements objectstore.Store.
func (client *Client) Get(ctx context.Context, key string) (objectstore.Object, error) {
	path, err := objectPath(key)
	if err != nil {
		return objectstore.Object{}, err
	}
	a, err := client.execute(ctx, call{operation: "get", method: http.MethodGet, path: path, bodyLimit: objectstore.MaxValueBytes})
	if err != nil {
		return objectstore.Object{}, errors.Wrapf(err, "get %s", key)
	}
	return objectstore.Object{Key: key, Value: a.body, Version: a.version}, nil
}

// Put implements objectstore.Store. It never repeats a write whose outcome is
// not known.
func (client *Client) Put(ctx context.Context, key string, value []byte, expect uint64) (uint64, error) {
	path, err := objectPath(key)
	if err != nil {
		return 0, err
	}
	if len(value) > objectstore.MaxValueBytes {
		return 0, errors.Wrapf(objectstore.ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	a, err := client.execute(ctx, call{
		operation: "put", method: http.MethodPut, path: path, body: value, expectedVersion: &expect, isWrite: true,
		bodyLimit: maxResponseBytes,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "put %s at version %d", key, expect)
	}
	return a.version, nil
}

// Delete implements objectstore.Store.
func (client *Client) Delete(ctx context.Context, key string, expect uint64) error {
	path, err := objectPath(key)
	if err != nil {
		return err
	}
	_, err = client.execute(ctx, call{
		operation: "delete", method: http.MethodDelete, path: path, expectedVersion: &expect, isWrite: true, bodyLimit: maxResponseBytes,
	})
	return errors.Wrapf(err, "delete %s at version %d", key, expect)
}

// List implements objectstore.Store.
func (client *Client) List(ctx context.Context, prefix string) ([]objectstore.Change, error) {
	var list []objectstore.Change
	err := client.getJSON(ctx, call{
		operation: "list", path: "/v1/objects", query: url.Values{"prefix": {prefix}},
	}, &list)
	return list, errors.Wrapf(err, "list %q", prefix)
}

// Watch implements objectstore.Store. It waits at most MaxWatch.
func (client *Client) Watch(ctx context.Context, prefix string, since uint64, timeout time.Duration) (uint64, []objectstore.Change, error) {
	wait := max(0, min(timeout, client.MaxWatch.AsDuration()))
	var got struct {
		Version uint64               `json:"version"`
		Changes []objectstore.Change `json:"changes"`
	}
	err := client.getJSON(ctx, call{
		operation: "watch", path: "/v1/watch", timeout: wait + client.CallTimeout.AsDuration(),
		query: url.Values{
			"prefix":     {prefix},
			"since":      {strconv.FormatUint(since, 10)},
			"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}, &got)
	if err != nil {
		return since, nil, errors.Wrapf(err, "watch %q since version %d", prefix, since)
	}
	return got.Version, got.Changes, nil
}

// Hosts implements objectstore.Store.
func (client *Client) Hosts(ctx context.Context) ([]objectstore.Host, error) {
	var hosts []objectstore.Host
	err := client.getJSON(ctx, call{operation: "hosts", path: "/v1/hosts"}, &hosts)
	return hosts, errors.Wrap(err, "read the host list")
}

// getJSON runs a read whose answer is JSON.
func (client *Client) getJSON(ctx context.Context, c call, into any) error {
	c.method, c.bodyLimit = http.MethodGet, maxResponseBytes
	a, err := client.execute(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(a.body, into); err != nil {
		return joinErrors(objectstore.ErrUnavailable, joinErrors(ErrUnexpectedResponse, err))
	}
	return nil
}

// execute runs a call, translates its status and counts it.
func (client *Client) execute(ctx context.Context, c call) (response, error) {
	if c.timeout == 0 {
		c.timeout = client.CallTimeout.AsDuration()
	}
	started := time.Now()
	a, err := client.sendWithFailover(ctx, c)
	if err == nil {
		err = statusError(c, a.status)
	}
	if err == nil && !a.hasVersion && (c.operation == "get" || c.operation == "put") {
		err = missingVersionError(c)
	}
	client.metrics.observe(c.operation, err, time.Since(started))
	return a, err
}

// missingVersionError reports an answer without Object-Version. A write took effect
// then, but its version has to be read.
func missingVersionError(c call) error {
	err := errors.Wrap(ErrUnexpectedResponse, "answer without Object-Version")
	if c.isWrite {
		return joinErrors(objectstore.ErrAmbiguous, err)
	}
	return joinErrors(objectstore.ErrUnavailable, err)
}
