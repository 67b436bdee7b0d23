package runner

import (
	"context"

	"github.com/arbutusline/arbutusline/api/arbutuspb"
)

// attemptState is the runner's state of one admitted attempt. It is kept as long as
// the state machine keeps the attempt's result. Its fields are guarded by
// Runner.mu.
type attemptState struct {
	request        *arbutuspb.RunRequest
	blockHashes    []uint64
	weightsVersion string
	ctx            context.Context
	cancel         context.CancelFunc
	readerCount    int
	// doneEvent is the Done event of an attempt that completed.
	doneEvent *arbutuspb.Done
	// failureMessage describes the failure of the attempt for logs and operators.
	failureMessage string
	// changed is closed and replaced when the state of the output stream changes, so
	// that the readers and the producer check it again.
	changed chan struct{}
}

func newAttemptState(req *arbutuspb.RunRequest, blockHashes []uint64, weightsVersion string) *attemptState {
	ctx, cancel := context.WithCancel(context.Background())
	return &attemptState{request: req, blockHashes: blockHashes, weightsVersion: weightsVersion, ctx: ctx, cancel: cancel, changed: make(chan struct{})}
}

func (a *attemptState) atMostOnce() bool { return a.request.ClaimKey != "" }

// resumeOffset returns the offset of the first token that the attempt produces.
func (a *attemptState) resumeOffset() int { return int(a.request.GetCompletion().GetResumeTokens()) }

// notifyChanged wakes the readers and the producer.
func (a *attemptState) notifyChanged() {
	close(a.changed)
	a.changed = make(chan struct{})
}
