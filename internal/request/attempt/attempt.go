// Package attempt runs one attempt of a model call at one endpoint.
//
// # Identity
//
// An attempt is addressed to one incarnation of the endpoint, which answers with a
// stream of frames, each with some tokens. A frame with another request id or
// incarnation is rejected, and the attempt fails with AnswerMismatch.
package attempt

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// ProgressTimeouts sets how long an attempt may go without progress.
type ProgressTimeouts struct {
	// FirstToken bounds the wait for the first new token, BetweenTokens the wait
	// for each further one. A frame without new tokens is no progress.
	FirstToken    time.Duration
	BetweenTokens time.Duration
}

// Run reads the answer from endpoint into a, continuing after the tokens that a
// already has. A nil error means that the answer is complete.
func Run(ctx context.Context, client engine.Client, c call.Call, endpoint fleet.Endpoint, a *answer.Answer, timeouts ProgressTimeouts) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(timeouts.FirstToken, func() {
		cancel(verdict.New(verdict.MayHaveRun, verdict.EndpointSilent, ""))
	})
	defer timer.Stop()
	stream, err := client.Complete(ctx, endpoint.Address, newCompletion(c, endpoint, a))
	if err != nil {
		return failureCause(ctx, err)
	}
	defer stream.Close()
	defer a.Wake()
	stream.BeforeRead(a.Wake)
	for {
		frame, err := stream.Next()
		if err != nil {
			return failureCause(ctx, endpointLost(err))
		}
		if frame.Request != c.Request || frame.Incarnation != endpoint.Incarnation {
			return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "")
		}
		if frame.Done {
			return finishAnswer(a, c, frame)
		}
		if c.MaxTokens > 0 && frame.Offset+unit.Tokens(len(frame.Tokens)) > c.MaxTokens {
			return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "answer exceeds max_tokens")
		}
		added, err := a.Append(frame.Offset, frame.Tokens)
		if err != nil {
			return err
		}
		if added > 0 {
			timer.Reset(timeouts.BetweenTokens)
		}
	}
}

// finishAnswer processes the final frame, whose offset must be the end of the
// answer.
func finishAnswer(a *answer.Answer, c call.Call, last engine.Frame) error {
	if last.Usage == nil {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "final frame has no usage")
	}
	if last.Offset != a.TokenCount() {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerGap, "final frame is not at the end of the answer")
	}
	usage := *last.Usage
	if usage.CompletionTokens != last.Offset {
		// An engine that resumes an answer counts the tokens delivered before as
		// part of the prompt.
		usage.CompletionTokens = last.Offset
		usage.PromptTokens = c.PromptTokens
	}
	a.Finish(usage)
	return nil
}

func newCompletion(c call.Call, endpoint fleet.Endpoint, a *answer.Answer) engine.Completion {
	completion := engine.Completion{
		Model:        c.Service,
		Organisation: c.Organisation,
		Request:      c.Request,
		Incarnation:  endpoint.Incarnation,
		Prompt:       c.Prompt,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
		ResumeOffset: a.TokenCount(),
	}
	if completion.ResumeOffset > 0 {
		completion.Delivered = a.Text()
	}
	return completion
}

// failureCause returns the verdict.Error with which ctx was cancelled, if any, since
// err is then only a consequence, and otherwise err.
func failureCause(ctx context.Context, err error) error {
	var ended *verdict.Error
	if errors.As(context.Cause(ctx), &ended) {
		return ended
	}
	return err
}

func endpointLost(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "stream ended early")
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
}
