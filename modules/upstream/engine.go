package upstream

import (
	"context"
	"io"
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
)

// CallEngine calls the engine API of one engine and returns the status and body of the
// response. It returns the same errors as Do.
func (c *Client) CallEngine(ctx context.Context, endpointID, address, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	response, err := c.Do(ctx, address, &Request{
		Method: method, URI: path, Host: address, Header: platform.EngineRequestHeader(endpointID, body != nil), Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // returns the connection to its pool or closes it
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEngineResponseBytes))
	return response.Status, text, err
}

// FetchEngineStatus queries the status of an engine.
func (c *Client) FetchEngineStatus(ctx context.Context, endpointID, address string) (platform.EngineStatus, error) {
	status, body, err := c.CallEngine(ctx, endpointID, address, http.MethodGet, platform.EngineStatusPath, nil)
	if err != nil {
		return platform.EngineStatus{}, err
	}
	if status != http.StatusOK {
		return platform.EngineStatus{}, errors.Newf("status request to engine %s returned HTTP status %d", endpointID, status)
	}
	return platform.DecodeEngineStatus(body)
}
