// Package attempt makes one try of a call at one endpoint.
//
// # Identity
//
// An attempt names the incarnation it means. A frame that carries another
// request or incarnation is not taken: the attempt fails with AnswerMismatch.
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

// Silence is how long an attempt may go without progress.
type Silence struct {
	// FirstToken bounds the wait for the first new token, Between that for each
	// next. A frame that brings nothing new is no progress.
	FirstToken time.Duration
	Between    time.Duration
}

// Run reads an answer from endpoint into a, from where a stands. A nil error
// means the answer is whole.
func Run(ctx context.Context, client engine.Client, c call.Call, endpoint fleet.Endpoint, a *answer.Answer, silence Silence) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(silence.FirstToken, func() {
		cancel(verdict.New(verdict.MayHaveRun, verdict.EndpointSilent, ""))
	})
	defer timer.Stop()
	stream, err := client.Complete(ctx, endpoint.Address, completion(c, endpoint, a))
	if err != nil {
		return cause(ctx, err)
	}
	defer stream.Close()
	defer a.Wake()
	stream.BeforeRead(a.Wake)
	for {
		frame, err := stream.Next()
		if err != nil {
			return cause(ctx, lost(err))
		}
		if frame.Request != c.Request || frame.Incarnation != endpoint.Incarnation {
			return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "")
		}
		if frame.Done {
			return finish(a, c, frame)
		}
		if c.MaxTokens > 0 && frame.Offset+unit.Tokens(len(frame.Tokens)) > c.MaxTokens {
			return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "more tokens than asked for")
		}
		took, err := a.Append(frame.Offset, frame.Tokens)
		if err != nil {
			return err
		}
		if took > 0 {
			timer.Reset(silence.Between)
		}
	}
}

// finish takes the last frame, which must stand right behind the last token.
func finish(a *answer.Answer, c call.Call, last engine.Frame) error {
	if last.Usage == nil {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerMismatch, "last frame without usage")
	}
	if last.Offset != a.Offset() {
		return verdict.New(verdict.MayHaveRun, verdict.AnswerGap, "last frame is not behind the last token")
	}
	usage := *last.Usage
	if usage.CompletionTokens != last.Offset {
		// The engine resumed, and counted what it was handed as prompt.
		usage.CompletionTokens = last.Offset
		usage.PromptTokens = c.PromptTokens
	}
	a.Finish(usage)
	return nil
}

func completion(c call.Call, endpoint fleet.Endpoint, a *answer.Answer) engine.Completion {
	ask := engine.Completion{
		Model:        c.Service,
		Organisation: c.Organisation,
		Request:      c.Request,
		Incarnation:  endpoint.Incarnation,
		Prompt:       c.Prompt,
		MaxTokens:    c.MaxTokens,
		Priority:     c.Priority,
		ResumeOffset: a.Offset(),
	}
	if ask.ResumeOffset > 0 {
		ask.Delivered = a.Text()
	}
	return ask
}

// cause prefers the reason for which the attempt was ended over its symptom.
func cause(ctx context.Context, err error) error {
	var ended *verdict.Error
	if errors.As(context.Cause(ctx), &ended) {
		return ended
	}
	return err
}

func lost(err error) error {
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return verdict.New(verdict.MayHaveRun, verdict.EndpointLost, "stream cut")
	}
	return verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
}
