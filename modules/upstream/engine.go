package upstream

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/arbutusline/arbutusline/platform"
)

const (
	// engineCallTimeout bounds a call to the engine API.
	engineCallTimeout = 600 * time.Millisecond
	// maxEngineResponseBytes bounds the response body of such a call.
	maxEngineResponseBytes = 1 << 20
	// engineResponseExpansion is how many times its length the decoded body needs.
	engineResponseExpansion = 2
)

// CallEngine calls the engine API of one engine, passes the body of a successful response to
// decode, unless that is nil, and returns the status. It returns the same errors as Do, those of
// Response.ReadAll and that of decode.
func (c *Client) CallEngine(ctx context.Context, endpointID, address, method, path string, body []byte, decode func([]byte) error) (status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	response, err := c.Do(ctx, address, &Request{
		Method: method, URI: path, Host: address, Header: platform.EngineRequestHeader(endpointID, body != nil), Body: body,
	})
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }() // returns the connection to its pool or closes it
	if decode == nil || response.Status != http.StatusOK {
		response.Discard()
		return response.Status, nil
	}
	content, err := response.ReadAll(maxEngineResponseBytes)
	if err != nil {
		return response.Status, err
	}
	defer content.Release()
	return response.Status, content.Decode(engineResponseExpansion, decode)
}

// FetchEngineStatus queries the status of an engine.
func (c *Client) FetchEngineStatus(ctx context.Context, endpointID, address string) (engine platform.EngineStatus, err error) {
	status, err := c.CallEngine(ctx, endpointID, address, http.MethodGet, platform.EngineStatusPath, nil, func(body []byte) (err error) {
		engine, err = platform.DecodeEngineStatus(body)
		return err
	})
	if err == nil && status != http.StatusOK {
		err = errors.Newf("status request to engine %s returned HTTP status %d", endpointID, status)
	}
	return engine, err
}
