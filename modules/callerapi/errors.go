package callerapi

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/arbutusline/arbutusline/decision/attempt"
	"github.com/arbutusline/arbutusline/internal/httpstatus"
	"github.com/arbutusline/arbutusline/modules/dispatch"
)

// Codes of the refusals that the API itself makes. The other codes come from dispatch.
const (
	codeBadRequest             attempt.Code = "bad_request"
	codeBodyTooLarge           attempt.Code = "body_too_large"
	codeUnauthorized           attempt.Code = "unauthorized"
	codeForbiddenEndpoint      attempt.Code = "forbidden_endpoint"
	codeUnknownModel           attempt.Code = "unknown_model"
	codeUnknownService         attempt.Code = "unknown_service"
	codeIdempotencyKeyRequired attempt.Code = "idempotency_key_required"
	codeShuttingDown           attempt.Code = "shutting_down"
	codeStreamGone             attempt.Code = "stream_gone"
	codeRequestNotFound        attempt.Code = "request_not_found"
	codeUnknownPath            attempt.Code = "unknown_path"
)

// statusByCode maps each code to its HTTP status.
var statusByCode = map[attempt.Code]int{
	codeBadRequest:               http.StatusBadRequest,
	codeBodyTooLarge:             http.StatusRequestEntityTooLarge,
	codeUnauthorized:             http.StatusUnauthorized,
	codeForbiddenEndpoint:        http.StatusForbidden,
	codeUnknownModel:             http.StatusNotFound,
	codeUnknownService:           http.StatusNotFound,
	codeIdempotencyKeyRequired:   http.StatusBadRequest,
	codeShuttingDown:             http.StatusServiceUnavailable,
	codeStreamGone:               http.StatusGone,
	dispatch.CodeTeamLimit:       http.StatusTooManyRequests,
	codeRequestNotFound:          http.StatusNotFound,
	codeUnknownPath:              http.StatusNotFound,
	attempt.CodeNoEndpoint:       http.StatusServiceUnavailable,
	attempt.CodeDeadline:         http.StatusServiceUnavailable,
	attempt.CodeQueueFull:        http.StatusTooManyRequests,
	attempt.CodeQuarantined:      http.StatusUnprocessableEntity,
	attempt.CodeOutcomeUnknown:   http.StatusBadGateway,
	attempt.CodeUpstreamFailed:   http.StatusBadGateway,
	attempt.CodeStoreUnavailable: http.StatusServiceUnavailable,
	attempt.CodeKeyReused:        http.StatusUnprocessableEntity,
	attempt.CodeStillRunning:     http.StatusConflict,
	attempt.CodeAlreadyNotRun:    http.StatusConflict,
	attempt.CodeAnswerExpired:    http.StatusGone,
}

// refusedBeforeLedgerLookup holds the codes of refusals that are made before the ledger
// is read. Such a refusal does not show whether an earlier request with the same
// Idempotency-Key ran.
var refusedBeforeLedgerLookup = map[attempt.Code]bool{
	codeShuttingDown:       true,
	dispatch.CodeTeamLimit: true,
	codeUnauthorized:       true,
	codeForbiddenEndpoint:  true,
	codeUnknownService:     true,
	codeUnknownModel:       true,
}

// refusal is the error response to a request that did not complete.
type refusal struct {
	code       attempt.Code
	message    string
	outcome    attempt.Outcome
	retryAfter time.Duration
}

func newNotRunRefusal(code attempt.Code, message string) *refusal {
	return &refusal{code: code, message: message, outcome: attempt.OutcomeNotRun}
}

func refusalFromFinish(f attempt.Finish) *refusal {
	return &refusal{code: f.Code, message: f.Reason, outcome: f.Outcome, retryAfter: f.RetryAfter}
}

// status returns the HTTP status of the code. If the request may have run, it returns 504 or
// 502 in place of a status that promises that it has not.
func (r *refusal) status() int {
	status, ok := statusByCode[r.code]
	switch {
	case !ok:
		return http.StatusInternalServerError
	case r.outcome == attempt.OutcomeNotRun || !httpstatus.PromisesNotRun(status):
		return status
	case r.code == attempt.CodeDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// retryAfterSeconds returns the value of the Retry-After header: at least 1 if the status of
// the code is 429 or 503, also if another one is sent because the request may have run, and 0,
// which means no header, for all others.
func (r *refusal) retryAfterSeconds() int {
	status := statusByCode[r.code]
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return 0
	}
	return max(1, int((r.retryAfter+time.Second-1)/time.Second))
}

type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code      attempt.Code    `json:"code"`
	Message   string          `json:"message"`
	Outcome   attempt.Outcome `json:"outcome"`
	RequestID string          `json:"request_id"`
}

func (r *refusal) body(requestID string) []byte {
	text, err := json.Marshal(errorBody{errorDetail{r.code, r.message, r.outcome, requestID}})
	if err != nil {
		return []byte(`{"error":{"code":"internal"}}`)
	}
	return text
}

func (r *refusal) write(w http.ResponseWriter, requestID string) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(headerRequestID, requestID)
	if s := r.retryAfterSeconds(); s > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(s))
	}
	w.WriteHeader(r.status())
	_, _ = w.Write(append(r.body(requestID), '\n'))
}
