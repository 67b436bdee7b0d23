package adversary

import (
	"fmt"
	"net/http"
)

// Told is what a caller was told of a request.
type Told struct {
	RequestID, Method string
	// Repeatable requests may run more than once.
	Repeatable bool
	// Err is the error of reading the response. A response that ended early has one.
	Err    error
	Status int
	// Stamp is the signature of the endpoint, or empty for a response of the router's own.
	Stamp string
	Body  string
}

// Judge returns what is wrong with what callers were told, given all attempts at all endpoints, after
// all work has ended. streamEvents is the number of events of the requests' streams, or 0.
func Judge(told []Told, attempts []Attempt, streamEvents int) []string {
	byID := map[string][]Attempt{}
	for _, a := range attempts {
		byID[a.RequestID] = append(byID[a.RequestID], a)
	}
	var wrong []string
	for _, t := range told {
		for _, problem := range judgeOne(t, byID[t.RequestID], streamEvents) {
			wrong = append(wrong, fmt.Sprintf("%s %s, told %d: %s; attempts: %s", t.Method, t.RequestID, t.Status, problem, describe(byID[t.RequestID])))
		}
	}
	return wrong
}

func describe(attempts []Attempt) string {
	text := ""
	for _, a := range attempts {
		text += fmt.Sprintf("[%s %s status %d ran %t whole %t]", a.Stamp, a.Act, a.Status, a.Ran, a.Whole)
	}
	return text
}

func judgeOne(t Told, attempts []Attempt, streamEvents int) (wrong []string) {
	runs := 0
	for _, a := range attempts {
		if a.Ran {
			runs++
		}
	}
	if runs > 1 && !t.Repeatable {
		wrong = append(wrong, fmt.Sprintf("ran %d times", runs))
	}
	if t.Err != nil {
		return wrong
	}
	switch {
	case promisesNotRun(t.Status):
		if runs > 0 {
			wrong = append(wrong, "reported as not run and ran")
		}
	case t.Stamp == "" && t.Status < http.StatusMultipleChoices:
		wrong = append(wrong, "a success without a signature")
	case t.Stamp == "":
	case !isMeant(t, attempts, streamEvents):
		wrong = append(wrong, fmt.Sprintf("no endpoint meant this response, signed %s, with a body of %d bytes", t.Stamp, len(t.Body)))
	}
	return wrong
}

func promisesNotRun(status int) bool {
	return status == http.StatusRequestTimeout || status == http.StatusMisdirectedRequest || status == http.StatusTooManyRequests ||
		status == http.StatusServiceUnavailable
}

// isMeant reports whether an endpoint meant the response as a whole. A stream may have gone on at
// another endpoint than the one that signed its beginning.
func isMeant(t Told, attempts []Attempt, streamEvents int) bool {
	if t.Status == http.StatusOK && streamEvents > 0 {
		for _, a := range attempts {
			if a.Stamp == t.Stamp && a.Ran {
				return t.Body == Events(t.RequestID, 1, streamEvents)
			}
		}
		return false
	}
	for _, a := range attempts {
		if a.Stamp == t.Stamp && a.Status == t.Status && a.Whole && a.Body == t.Body {
			return true
		}
	}
	return false
}
