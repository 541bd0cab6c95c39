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

// handoverServer answers the calls with which peers hand over requests.
type handoverServer struct {
	server *Server
}

// Follow gives what there is of an answer from an offset on.
func (h handoverServer) Follow(ctx context.Context, r *connect.Request[handover.FollowRequest]) (*connect.Response[handover.FollowResponse], error) {
	w, ok := h.server.requests.find(identity.Request(r.Msg.GetRequest()))
	if !ok || string(w.call.Organisation) != r.Msg.GetOrganisation() {
		return connect.NewResponse(new(handover.FollowResponse)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, followWait)
	defer cancel()
	response := &handover.FollowResponse{Found: true, Service: string(w.call.Service)}
	if w.call.Method != "" {
		followPlainInto(ctx, response, w)
		return connect.NewResponse(response), nil
	}
	piece, err := w.answer.Read(ctx, unit.Tokens(r.Msg.GetOffset()))
	if errors.Is(err, context.DeadlineExceeded) {
		return connect.NewResponse(response), nil
	}
	if err != nil {
		return nil, err
	}
	response.Tokens = w.answer.Tokens(piece.Offset)[:piece.Count]
	response.Done = piece.Done
	response.PromptTokens, response.CachedTokens = int64(piece.Usage.PromptTokens), int64(piece.Usage.CachedTokens)
	response.Failure = failureOf(piece.Failure)
	return connect.NewResponse(response), nil
}

func followPlainInto(ctx context.Context, response *handover.FollowResponse, w work) {
	response.IsPlain = true
	select {
	case <-w.plain.done:
	case <-ctx.Done():
		return
	}
	response.Done = true
	response.Failure = failureOf(w.plain.failure)
	o := w.plain.answer
	response.Plain = &handover.Plain{Status: int32(o.Status), ContentType: o.ContentType, Body: o.Body}
}

func failureOf(e *verdict.Error) *handover.Failure {
	if e == nil {
		return nil
	}
	return &handover.Failure{Verdict: e.Verdict.String(), Reason: string(e.Reason), Detail: e.Detail}
}

// Take goes on with a request that a leaving peer hands over.
func (h handoverServer) Take(_ context.Context, r *connect.Request[handover.TakeRequest]) (*connect.Response[handover.TakeResponse], error) {
	if h.server.stopping.Load() {
		return connect.NewResponse(new(handover.TakeResponse)), nil
	}
	c := callOf(r.Msg)
	if _, again := h.server.requests.find(c.Request); again {
		return connect.NewResponse(&handover.TakeResponse{Taken: true}), nil
	}
	w, ok := h.server.requests.start(c)
	if !ok {
		return connect.NewResponse(new(handover.TakeResponse)), nil
	}
	if _, err := w.answer.Add(0, r.Msg.GetTokens()); err != nil {
		w.answer.Fail(verdict.Of(err))
	}
	h.server.begin(w, h.server.admitTaken)
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
		Repeatable:   true,
	}
	c.Blocks = engine.Blocks(c.Organisation, c.Prompt)
	if m.GetDeadlineMs() > 0 {
		c.Deadline = time.Now().Add(time.Duration(m.GetDeadlineMs()) * time.Millisecond)
	}
	return c
}
