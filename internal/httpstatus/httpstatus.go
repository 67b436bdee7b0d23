// Package httpstatus classifies the statuses of HTTP responses by what they promise to
// callers.
package httpstatus

import "net/http"

// PromisesNotRun reports whether callers read a status as a promise that the request has not
// run and never will, after which they may repeat any request: 408, 421, 429 and 503. A router
// may send such a status only if it knows that no endpoint ran the request.
func PromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
