package e2e

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"
)

// callResult is the result of a call as its caller saw it.
type callResult struct {
	// code is empty for a complete response, the error code for a refusal, "cut"
	// for an incomplete stream, and "connection" when the connection failed or the
	// response was unreadable.
	code        string
	outcome     string
	text        string
	requestID   string
	lastEventID string
}

var client = &http.Client{Timeout: 60 * time.Second}

// sendRequest sends a request with the team's token. headers are pairs of name and
// value.
func sendRequest(ctx context.Context, method, url, key, body string, headers ...string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport does not retry a request with an
	// Idempotency-Key on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+token)
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	return client.Do(req)
}

// streamCompletion requests a streamed completion.
func streamCompletion(ctx context.Context, router, prompt string, tokens int) callResult {
	body, _ := json.Marshal(map[string]any{"model": model, "prompt": prompt, "max_tokens": tokens, "stream": true})
	resp, err := sendRequest(ctx, http.MethodPost, "http://"+router+"/v1/completions", "", string(body))
	return readStream(resp, err)
}

// resumeStream resumes an interrupted stream at the given router. The text of the
// result includes the text received before.
func resumeStream(ctx context.Context, router string, interrupted callResult) callResult {
	resp, err := sendRequest(ctx, http.MethodGet, "http://"+router+"/v1/requests/"+interrupted.requestID+"/stream", "", "", "Last-Event-ID", interrupted.lastEventID)
	rest := readStream(resp, err)
	rest.text = interrupted.text + rest.text
	if rest.lastEventID == "" {
		rest.requestID, rest.lastEventID = interrupted.requestID, interrupted.lastEventID
	}
	return rest
}

// readStream reads a streamed response to its end.
func readStream(resp *http.Response, err error) callResult {
	if err != nil {
		return callResult{code: "connection", outcome: "unknown"}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	result := callResult{code: "cut", outcome: "unknown", requestID: resp.Header.Get("X-Request-Id")}
	lines := bufio.NewScanner(resp.Body)
	event := ""
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), ": ")
		switch name {
		case "id":
			result.lastEventID = value
		case "event":
			event = value
		case "data":
			if value == "[DONE]" {
				result.code, result.outcome = "", "done"
				return result
			}
			result.text += chunkText(value, event)
		}
	}
	return result
}

// chunkText returns the completion text of a stream event.
func chunkText(data, event string) string {
	if event == "error" {
		return ""
	}
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}
	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Text
}

// readRefusal reads the body of an error response.
func readRefusal(resp *http.Response) callResult {
	var body struct {
		Error struct {
			Code    string `json:"code"`
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	text, _ := io.ReadAll(resp.Body)
	if json.Unmarshal(text, &body) != nil || body.Error.Code == "" {
		return callResult{code: "connection", outcome: "unknown"}
	}
	return callResult{code: body.Error.Code, outcome: body.Error.Outcome}
}

// callService calls the plain service records-app.
func callService(ctx context.Context, router, path, key, body string) callResult {
	resp, err := sendRequest(ctx, http.MethodPost, "http://"+router+"/services/records-app"+path, key, body)
	if err != nil {
		return callResult{code: "connection", outcome: "unknown"}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return readRefusal(resp)
	}
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return callResult{code: "connection", outcome: "unknown"}
	}
	return callResult{text: string(bytes.TrimSpace(text)), outcome: "done"}
}
