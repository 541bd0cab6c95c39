package entry

import (
	"context"
	"errors"
	"time"

	"connectrpc.com/connect"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/handover"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// handoverServer implements the handover service, which peers call to hand over
// requests and to follow answers.
type handoverServer struct {
	server *Server
}

// Follow returns what is available of an answer from an offset on. If nothing is, it
// waits for up to followWait. The answer of a plain service is returned whole.
func (h handoverServer) Follow(ctx context.Context, r *connect.Request[handover.FollowRequest]) (*connect.Response[handover.FollowResponse], error) {
	tracked, ok := h.server.requests.find(identity.Request(r.Msg.GetRequest()))
	if !ok || string(tracked.call.Organisation) != r.Msg.GetOrganisation() {
		return connect.NewResponse(new(handover.FollowResponse)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, followWait)
	defer cancel()
	response := &handover.FollowResponse{Found: true, Service: string(tracked.call.Service)}
	if tracked.call.Method != "" {
		fillPlainResponse(ctx, response, tracked)
		return connect.NewResponse(response), nil
	}
	piece, err := tracked.answer.Read(ctx, unit.Tokens(r.Msg.GetOffset()))
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewResponse(response), nil
	}
	if err != nil {
		return nil, err
	}
	response.Tokens = tracked.answer.TokensFrom(piece.Offset)[:piece.Count]
	response.Done = piece.Done
	response.PromptTokens, response.CachedTokens = int64(piece.Usage.PromptTokens), int64(piece.Usage.CachedTokens)
	response.Failure = failureOf(piece.Failure)
	return connect.NewResponse(response), nil
}

func fillPlainResponse(ctx context.Context, response *handover.FollowResponse, tracked trackedRequest) {
	response.IsPlain = true
	select {
	case <-tracked.plain.done:
	case <-ctx.Done():
		return
	}
	response.Done = true
	response.Failure = failureOf(tracked.plain.failure)
	plainAnswer := tracked.plain.answer
	response.Plain = &handover.Plain{Status: int32(plainAnswer.Status), ContentType: plainAnswer.ContentType, Body: plainAnswer.Body}
}

func failureOf(e *verdict.Error) *handover.Failure {
	if e == nil {
		return nil
	}
	return &handover.Failure{Verdict: e.Verdict.String(), Reason: string(e.Reason), Detail: e.Detail}
}

// Take accepts a request that a leaving peer hands over, and continues its
// answer.
func (h handoverServer) Take(_ context.Context, r *connect.Request[handover.TakeRequest]) (*connect.Response[handover.TakeResponse], error) {
	if h.server.stopping.Load() {
		return connect.NewResponse(new(handover.TakeResponse)), nil
	}
	c := callOf(r.Msg)
	if _, known := h.server.requests.find(c.Request); known {
		return connect.NewResponse(&handover.TakeResponse{Taken: true}), nil
	}
	tracked, ok := h.server.requests.start(c)
	if !ok {
		return connect.NewResponse(new(handover.TakeResponse)), nil
	}
	if _, err := tracked.answer.AppendAndWake(0, r.Msg.GetTokens()); err != nil {
		tracked.answer.Fail(verdict.FromError(err))
	}
	h.server.startAssembly(tracked, h.server.admitHandedOver)
	return connect.NewResponse(&handover.TakeResponse{Taken: true}), nil
}

func callOf(m *handover.TakeRequest) call.Call {
	c := call.Call{
		Request:      identity.Request(m.GetRequest()),
		Organisation: identity.Organisation(m.GetOrganisation()),
		Service:      identity.Service(m.GetService()),
		Priority:     engine.Priority(m.GetPriority()),
		Prompt:       m.GetPrompt(),
		PromptTokens: engine.CountTokens(m.GetPrompt()),
		MaxTokens:    unit.Tokens(m.GetMaxTokens()),
		Idempotent:   true,
	}
	c.PrefixBlocks = engine.HashBlocks(c.Organisation, c.Prompt)
	if m.GetDeadlineMs() > 0 {
		c.Deadline = time.Now().Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond)
	}
	return c
}
