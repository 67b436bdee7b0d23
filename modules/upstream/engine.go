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
	// engineCallTimeout bounds a call to an engine's own interface.
	engineCallTimeout = 600 * time.Millisecond
	// maxEngineAnswerBytes bounds its answer.
	maxEngineResponseBytes = 1 << 20
)

// CallEngine makes a call to the own interface of one engine and returns the
// status and body of its answer. It fails like Do.
func (c *Client) CallEngine(ctx context.Context, endpointID, address, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, engineCallTimeout)
	defer cancel()
	response, err := c.Do(ctx, address, &Request{
		Method: method, URI: path, Host: address, Header: platform.EngineRequestHeader(endpointID, body != nil), Body: body,
	})
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = response.Body.Close() }() // Closing gives the connection back or drops it.
	text, err := io.ReadAll(io.LimitReader(response.Body, maxEngineResponseBytes))
	return response.Status, text, err
}

// Report asks an engine for its state.
func (c *Client) FetchEngineStatus(ctx context.Context, endpointID, address string) (platform.EngineStatus, error) {
	status, body, err := c.CallEngine(ctx, endpointID, address, http.MethodGet, platform.EngineStatusPath, nil)
	if err != nil {
		return platform.EngineStatus{}, err
	}
	if status != http.StatusOK {
		return platform.EngineStatus{}, errors.Newf("report of %s answered with status %d", endpointID, status)
	}
	return platform.DecodeEngineStatus(body)
}
