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
	resp, err := client.execute(ctx, call{operation: "get", method: http.MethodGet, path: path, bodyLimit: objectstore.MaxValueBytes})
	if err != nil {
		return objectstore.Object{}, errors.Wrapf(err, "get %s", key)
	}
	return objectstore.Object{Key: key, Value: resp.body, Version: resp.version}, nil
}

// Put implements objectstore.Store. It never retries a write whose outcome is unknown.
func (client *Client) Put(ctx context.Context, key string, value []byte, expectedVersion uint64) (uint64, error) {
	path, err := objectPath(key)
	if err != nil {
		return 0, err
	}
	if len(value) > objectstore.MaxValueBytes {
		return 0, errors.Wrapf(objectstore.ErrTooLarge, "put %s: %d bytes", key, len(value))
	}
	resp, err := client.execute(ctx, call{
		operation: "put", method: http.MethodPut, path: path, body: value, expectedVersion: &expectedVersion, isWrite: true,
		bodyLimit: maxResponseBytes,
	})
	if err != nil {
		return 0, errors.Wrapf(err, "put %s at version %d", key, expectedVersion)
	}
	return resp.version, nil
}

// Delete implements objectstore.Store.
func (client *Client) Delete(ctx context.Context, key string, expectedVersion uint64) error {
	path, err := objectPath(key)
	if err != nil {
		return err
	}
	_, err = client.execute(ctx, call{
		operation: "delete", method: http.MethodDelete, path: path, expectedVersion: &expectedVersion, isWrite: true, bodyLimit: maxResponseBytes,
	})
	return errors.Wrapf(err, "delete %s at version %d", key, expectedVersion)
}

// List implements objectstore.Store.
func (client *Client) List(ctx context.Context, prefix string) ([]objectstore.Change, error) {
	var list []objectstore.Change
	err := client.getJSON(ctx, call{
		operation: "list", path: "/v1/objects", query: url.Values{"prefix": {prefix}},
	}, &list)
	return list, errors.Wrapf(err, "list %q", prefix)
}

// Watch implements objectstore.Store. It waits at most MaxWatchWait.
func (client *Client) Watch(ctx context.Context, prefix string, sinceVersion uint64, timeout time.Duration) (uint64, []objectstore.Change, error) {
	wait := max(0, min(timeout, client.MaxWatchWait.AsDuration()))
	var result struct {
		Version uint64               `json:"version"`
		Changes []objectstore.Change `json:"changes"`
	}
	err := client.getJSON(ctx, call{
		operation: "watch", path: "/v1/watch", timeout: wait + client.CallTimeout.AsDuration(),
		query: url.Values{
			"prefix":     {prefix},
			"since":      {strconv.FormatUint(sinceVersion, 10)},
			"timeout_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}, &result)
	if err != nil {
		return sinceVersion, nil, errors.Wrapf(err, "watch %q since version %d", prefix, sinceVersion)
	}
	return result.Version, result.Changes, nil
}

// Hosts implements objectstore.Store.
func (client *Client) Hosts(ctx context.Context) ([]objectstore.Host, error) {
	var hosts []objectstore.Host
	err := client.getJSON(ctx, call{operation: "hosts", path: "/v1/hosts"}, &hosts)
	return hosts, errors.Wrap(err, "read the host list")
}

// getJSON executes a GET call and decodes its JSON response into dst.
func (client *Client) getJSON(ctx context.Context, c call, dst any) error {
	c.method, c.bodyLimit = http.MethodGet, maxResponseBytes
	resp, err := client.execute(ctx, c)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(resp.body, dst); err != nil {
		return joinErrors(objectstore.ErrUnavailable, joinErrors(ErrUnexpectedResponse, err))
	}
	return nil
}

// execute sends a call, translates the status of its response and records metrics.
func (client *Client) execute(ctx context.Context, c call) (response, error) {
	if c.timeout == 0 {
		c.timeout = client.CallTimeout.AsDuration()
	}
	startTime := time.Now()
	resp, err := client.sendWithFailover(ctx, c)
	if err == nil {
		err = statusError(c, resp.status)
	}
	if err == nil && !resp.hasVersion && (c.operation == "get" || c.operation == "put") {
		err = missingVersionError(c)
	}
	client.metrics.observe(c.operation, err, time.Since(startTime))
	return resp, err
}

// missingVersionError is the error for a response without Object-Version. A write is
// ambiguous then: it took effect, but its version is unknown.
func missingVersionError(c call) error {
	err := errors.Wrap(ErrUnexpectedResponse, "answer without Object-Version")
	if c.isWrite {
		return joinErrors(objectstore.ErrAmbiguous, err)
	}
	return joinErrors(objectstore.ErrUnavailable, err)
}
