package entry

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/gorilla/mux"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

const (
	maxBodyBytes     = 4 << 20
	defaultMaxTokens = 256
	maxTokensLimit   = 32_768
	// maxAttempts bounds the attempts of a plain call, and those of a model call
	// since the last one that delivered tokens.
	maxAttempts = 8
	// maxLostEngines is how many engines may break off the answer to a request, whether
	// they have delivered tokens or not: the request may be what crashes them. Engines
	// that leave, or fall silent, don't count.
	maxLostEngines = 4
)

// completionBody is the body of a completion request. Chat requests have
// Messages in place of Prompt.
type completionBody struct {
	Model     identity.Service `json:"model"`
	Prompt    string           `json:"prompt"`
	Messages  []message        `json:"messages"`
	MaxTokens unit.Tokens      `json:"max_tokens"`
	Stream    bool             `json:"stream"`
	Batch     bool             `json:"batch"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// choice holds the text of a completion.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

// completion is a complete answer or one event of a streamed answer.
type completion struct {
	ID      identity.Request `json:"id"`
	Object  string           `json:"object"`
	Model   identity.Service `json:"model"`
	Offset  unit.Tokens      `json:"offset"`
	Choices []choice         `json:"choices"`
	Usage   *engine.Usage    `json:"usage,omitempty"`
}

func (s *Server) serveCompletion(w http.ResponseWriter, r *http.Request) {
	s.serveModelCall(w, r, false)
}

func (s *Server) serveChat(w http.ResponseWriter, r *http.Request) { s.serveModelCall(w, r, true) }

// serveModelCall accepts a model call and writes its answer.
func (s *Server) serveModelCall(w http.ResponseWriter, r *http.Request, chat bool) {
	c, body, err := s.readModelCall(r, chat)
	if err != nil {
		s.writeProblem(w, "", err)
		return
	}
	tracked, ok := s.requests.start(c)
	if !ok {
		s.writeProblem(w, string(c.Request), s.notAcceptingError())
		return
	}
	s.startAssembly(tracked, s.admit)
	s.follow(w, r, tracked, chat, body.Stream)
}

// readModelCall authorises, parses and validates a model call.
func (s *Server) readModelCall(r *http.Request, chat bool) (call.Call, completionBody, *verdict.Error) {
	var body completionBody
	organisation, failure := s.authorise(r)
	if failure != nil {
		return call.Call{}, body, failure
	}
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&body); err != nil {
		return call.Call{}, body, verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)
	}
	service, ok := s.Snapshot().Configuration.Service(body.Model)
	if !ok || service.Kind != configuration.Model {
		return call.Call{}, body, verdict.New(verdict.NotRun, verdict.UnknownService, string(body.Model))
	}
	if chat {
		body.Prompt = chatPrompt(body.Messages)
	}
	if body.MaxTokens == 0 {
		body.MaxTokens = defaultMaxTokens
	}
	if body.Prompt == "" || body.MaxTokens < 0 || body.MaxTokens > maxTokensLimit {
		return call.Call{}, body, verdict.New(verdict.NotRun, verdict.BadRequest, "prompt or messages must not be empty, max_tokens must be 0 to 32768")
	}
	deadline, failure := deadlineOf(r, time.Now())
	if failure != nil {
		return call.Call{}, body, failure
	}
	c := call.Call{
		Request:        identity.NewRequestFrom(s.settings.Host),
		Deadline:       deadline,
		Organisation:   organisation,
		Service:        body.Model,
		IdempotencyKey: r.Header.Get("Idempotency-Key"),
		Priority:       engine.Interactive,
		Prompt:         body.Prompt,
		PromptTokens:   engine.CountTokens(body.Prompt),
		MaxTokens:      body.MaxTokens,
		PrefixBlocks:   engine.HashBlocks(organisation, body.Prompt),
		Idempotent:     true,
	}
	if body.Batch {
		c.Priority = engine.Batch
	}
	return c, body, nil
}

func chatPrompt(messages []message) string {
	var prompt strings.Builder
	for _, m := range messages {
		fmt.Fprintf(&prompt, "%s: %s\n", m.Role, m.Content)
	}
	return prompt.String()
}

// authorise returns the organisation of the request's bearer key.
func (s *Server) authorise(r *http.Request) (identity.Organisation, *verdict.Error) {
	c := s.Snapshot().Configuration
	if c.Version == 0 {
		failure := verdict.New(verdict.NotRun, verdict.NoConfiguration, "")
		failure.RetryAfter = time.Second
		return "", failure
	}
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return "", verdict.New(verdict.NotRun, verdict.Unauthorised, "no bearer key")
	}
	sum := sha256.Sum256([]byte(key))
	keyHash := hex.EncodeToString(sum[:])
	for _, o := range c.Organisations {
		for _, knownHash := range o.KeySHA256 {
			if knownHash == keyHash {
				return o.ID, nil
			}
		}
	}
	return "", verdict.New(verdict.NotRun, verdict.Unauthorised, "unknown bearer key")
}

// reattach serves the answer of an earlier request from its start, to a caller
// that lost its connection.
func (s *Server) reattach(w http.ResponseWriter, r *http.Request) {
	organisation, failure := s.authorise(r)
	if failure != nil {
		s.writeProblem(w, "", failure)
		return
	}
	id := identity.Request(mux.Vars(r)["id"])
	found, ok := s.requests.find(id)
	if !ok || isHandedOver(found) {
		found, ok = s.locate(r.Context(), id, organisation)
	}
	if !ok || found.call.Organisation != organisation {
		s.writeProblem(w, string(id), verdict.New(verdict.MayHaveRun, verdict.UnknownRequest, ""))
		return
	}
	// Only calls to a plain service have a method.
	if found.call.Method != "" {
		s.followPlain(w, r, found)
		return
	}
	s.follow(w, r, found, false, r.URL.Query().Get("stream") == "true")
}

// follow writes the answer: as a stream while it is assembled, or in one piece once
// it has ended.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, tracked trackedRequest, chat, stream bool) {
	w.Header().Set(engine.RequestHeader, string(tracked.call.Request))
	if stream {
		s.followStream(w, r, tracked, chat)
		return
	}
	piece, err := tracked.answer.Wait(r.Context())
	if err != nil {
		return
	}
	if piece.Failure != nil {
		s.writeProblem(w, string(tracked.call.Request), piece.Failure)
		return
	}
	s.extendWriteDeadline(http.NewResponseController(w))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(answerBody(tracked, piece, chat))
}

func answerBody(tracked trackedRequest, piece answer.Piece, chat bool) completion {
	stop := "stop"
	c := choice{FinishReason: &stop}
	if chat {
		c.Message = &message{Role: "assistant", Content: tracked.answer.Text()}
	} else {
		c.Text = tracked.answer.Text()
	}
	return completion{
		ID: tracked.call.Request, Object: "text_completion", Model: tracked.call.Service,
		Choices: []choice{c}, Usage: &piece.Usage,
	}
}

func (s *Server) followStream(w http.ResponseWriter, r *http.Request, tracked trackedRequest, chat bool) {
	controller := http.NewResponseController(w)
	started := false
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	for offset := unit.Tokens(0); ; {
		piece, err := tracked.answer.ReadUntil(r.Context(), offset, heartbeat.C)
		if err != nil {
			return
		}
		if piece.Count == 0 && !piece.Done {
			if started && !s.writeHeartbeat(w, controller) {
				return
			}
			continue
		}
		if !started && piece.Failure != nil && piece.Count == 0 {
			s.writeProblem(w, string(tracked.call.Request), piece.Failure)
			return
		}
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		s.extendWriteDeadline(controller)
		if piece.Count > 0 {
			writeEvent(w, deltaEvent(tracked, piece, chat))
			offset += piece.Count
		}
		if piece.Done {
			s.endStream(w, tracked, offset, piece)
		}
		if !s.flush(controller) || piece.Done {
			return
		}
	}
}

// endStream writes the last event of a stream: the error, or the usage followed
// by the end marker.
func (s *Server) endStream(w http.ResponseWriter, tracked trackedRequest, offset unit.Tokens, last answer.Piece) {
	if last.Failure != nil {
		s.Meter.Refused(last.Failure.Reason)
		fmt.Fprint(w, "event: error\n")
		writeEvent(w, newProblem(string(tracked.call.Request), last.Failure))
		return
	}
	stop := "stop"
	writeEvent(w, completion{
		ID: tracked.call.Request, Object: "text_completion", Model: tracked.call.Service, Offset: offset,
		Choices: []choice{{FinishReason: &stop}}, Usage: &last.Usage,
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func deltaEvent(tracked trackedRequest, piece answer.Piece, chat bool) completion {
	c := choice{Text: piece.Text}
	if chat {
		c = choice{Delta: &message{Role: "assistant", Content: piece.Text}}
	}
	return completion{
		ID: tracked.call.Request, Object: "text_completion", Model: tracked.call.Service,
		Offset: piece.Offset, Choices: []choice{c},
	}
}

func writeEvent(w io.Writer, event any) {
	data, err := json.Marshal(event)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

// extendWriteDeadline sets the deadline of the next write, so that a caller that
// does not read loses its connection. The answer is kept and can be fetched
// again.
func (s *Server) extendWriteDeadline(controller *http.ResponseController) {
	if err := controller.SetWriteDeadline(time.Now().Add(callerWriteTimeout)); err != nil {
		s.Log.Debug("no_write_deadline", "error", err)
	}
}

const (
	callerWriteTimeout = 30 * time.Second
	// heartbeatInterval is the time between heartbeats on a caller's stream.
	heartbeatInterval = 5 * time.Second
)

// writeHeartbeat writes a comment, which readers of server-sent events skip, so
// that both ends detect a lost connection. It reports whether the caller is
// still connected.
func (s *Server) writeHeartbeat(w io.Writer, controller *http.ResponseController) bool {
	s.extendWriteDeadline(controller)
	fmt.Fprint(w, ": waiting\n\n")
	return s.flush(controller)
}

// flush sends buffered output. It reports whether the caller is still connected.
func (s *Server) flush(controller *http.ResponseController) bool {
	err := controller.Flush()
	return err == nil || errors.Is(err, http.ErrNotSupported)
}
