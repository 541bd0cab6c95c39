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
	mostMaxTokens    = 32_768
	mostAttempts     = 8
)

// completionBody is what callers send; chat callers send Messages.
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

// choice and chunk are the answer, whole or a piece of it.
type choice struct {
	Index        int      `json:"index"`
	Text         string   `json:"text"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type chunk struct {
	ID      identity.Request `json:"id"`
	Object  string           `json:"object"`
	Model   identity.Service `json:"model"`
	Offset  unit.Tokens      `json:"offset"`
	Choices []choice         `json:"choices"`
	Usage   *engine.Usage    `json:"usage,omitempty"`
}

func (s *Server) completion(w http.ResponseWriter, r *http.Request) { s.model(w, r, false) }

func (s *Server) chat(w http.ResponseWriter, r *http.Request) { s.model(w, r, true) }

// model takes a model call in and follows its answer.
func (s *Server) model(w http.ResponseWriter, r *http.Request, chat bool) {
	c, body, err := s.readModelCall(r, chat)
	if err != nil {
		s.refuse(w, "", err)
		return
	}
	running, ok := s.requests.start(c)
	if !ok {
		s.refuse(w, string(c.Request), s.full())
		return
	}
	s.begin(running, s.admit)
	s.follow(w, r, running, chat, body.Stream)
}

// readModelCall checks everything that can be checked before anything runs.
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
	if body.Prompt == "" || body.MaxTokens < 0 || body.MaxTokens > mostMaxTokens {
		return call.Call{}, body, verdict.New(verdict.NotRun, verdict.BadRequest, "prompt must not be empty, max_tokens must be 1 to 32768")
	}
	deadline, failure := deadlineOf(r, time.Now())
	if failure != nil {
		return call.Call{}, body, failure
	}
	c := call.Call{
		Request:      identity.NewRequestAt(s.settings.Host),
		Deadline:     deadline,
		Organisation: organisation,
		Service:      body.Model,
		Key:          r.Header.Get("Idempotency-Key"),
		Priority:     engine.Interactive,
		Prompt:       body.Prompt,
		PromptTokens: engine.CountTokens(body.Prompt),
		MaxTokens:    body.MaxTokens,
		Blocks:       engine.Blocks(organisation, body.Prompt),
		Repeatable:   true,
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

// authorise finds the organisation of the bearer key.
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
	text := hex.EncodeToString(sum[:])
	for _, o := range c.Organisations {
		for _, known := range o.KeySHA256 {
			if known == text {
				return o.ID, nil
			}
		}
	}
	return "", verdict.New(verdict.NotRun, verdict.Unauthorised, "unknown bearer key")
}

// again lets a caller that lost its connection fetch the whole answer.
func (s *Server) again(w http.ResponseWriter, r *http.Request) {
	organisation, failure := s.authorise(r)
	if failure != nil {
		s.refuse(w, "", failure)
		return
	}
	id := identity.Request(mux.Vars(r)["id"])
	found, ok := s.requests.find(id)
	if !ok || handedOver(found) {
		found, ok = s.locate(r.Context(), id, organisation)
	}
	if !ok || found.call.Organisation != organisation {
		s.refuse(w, string(id), verdict.New(verdict.MayHaveRun, verdict.UnknownRequest, ""))
		return
	}
	if found.call.Method != "" {
		s.followPlain(w, r, found)
		return
	}
	s.follow(w, r, found, false, r.URL.Query().Get("stream") == "true")
}

// follow writes the answer as it grows, or whole at its end.
func (s *Server) follow(w http.ResponseWriter, r *http.Request, running work, chat, stream bool) {
	w.Header().Set(engine.RequestHeader, string(running.call.Request))
	if stream {
		s.followStream(w, r, running, chat)
		return
	}
	piece, err := running.answer.Wait(r.Context())
	if err != nil {
		return
	}
	if piece.Failure != nil {
		s.refuse(w, string(running.call.Request), piece.Failure)
		return
	}
	s.allow(http.NewResponseController(w))
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(whole(running, piece, chat))
}

func whole(running work, piece answer.Piece, chat bool) chunk {
	stop := "stop"
	c := choice{FinishReason: &stop}
	if chat {
		c.Message = &message{Role: "assistant", Content: running.answer.Text()}
	} else {
		c.Text = running.answer.Text()
	}
	return chunk{
		ID: running.call.Request, Object: "text_completion", Model: running.call.Service,
		Choices: []choice{c}, Usage: &piece.Usage,
	}
}

func (s *Server) followStream(w http.ResponseWriter, r *http.Request, running work, chat bool) {
	controller := http.NewResponseController(w)
	started := false
	beat := time.NewTicker(callerBeat)
	defer beat.Stop()
	for offset := unit.Tokens(0); ; {
		piece, err := running.answer.ReadUntil(r.Context(), offset, beat.C)
		if err != nil {
			return
		}
		if piece.Count == 0 && !piece.Done {
			if started && !s.beat(w, controller) {
				return
			}
			continue
		}
		if !started && piece.Failure != nil && piece.Count == 0 {
			s.refuse(w, string(running.call.Request), piece.Failure)
			return
		}
		if !started {
			w.Header().Set("Content-Type", "text/event-stream")
			started = true
		}
		s.allow(controller)
		if piece.Count > 0 {
			writeEvent(w, streamed(running, piece, chat))
			offset += piece.Count
		}
		if piece.Done {
			s.endStream(w, running, offset, piece)
		}
		if !s.flush(controller) || piece.Done {
			return
		}
	}
}

// endStream writes how the answer ended.
func (s *Server) endStream(w http.ResponseWriter, running work, offset unit.Tokens, last answer.Piece) {
	if last.Failure != nil {
		s.Meter.Refused(last.Failure.Reason)
		fmt.Fprint(w, "event: error\n")
		writeEvent(w, newProblem(string(running.call.Request), last.Failure))
		return
	}
	stop := "stop"
	writeEvent(w, chunk{
		ID: running.call.Request, Object: "text_completion", Model: running.call.Service, Offset: offset,
		Choices: []choice{{FinishReason: &stop}}, Usage: &last.Usage,
	})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func streamed(running work, piece answer.Piece, chat bool) chunk {
	c := choice{Text: piece.Text}
	if chat {
		c = choice{Delta: &message{Role: "assistant", Content: piece.Text}}
	}
	return chunk{
		ID: running.call.Request, Object: "text_completion", Model: running.call.Service,
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

// allow bounds the next write, so that a caller that takes nothing loses its
// connection. Its answer is kept, and it can follow it again.
func (s *Server) allow(controller *http.ResponseController) {
	if err := controller.SetWriteDeadline(time.Now().Add(slowCaller)); err != nil {
		s.Log.Debug("no_write_deadline", "error", err)
	}
}

const (
	slowCaller = 30 * time.Second
	// callerBeat is the time between heartbeats on a stream.
	callerBeat = 5 * time.Second
)

// beat writes a comment, which readers of server-sent events skip, so that
// either end finds out when the connection is gone.
func (s *Server) beat(w io.Writer, controller *http.ResponseController) bool {
	s.allow(controller)
	fmt.Fprint(w, ": waiting\n\n")
	return s.flush(controller)
}

// flush sends what was written, or reports that the caller is gone.
func (s *Server) flush(controller *http.ResponseController) bool {
	err := controller.Flush()
	return err == nil || errors.Is(err, http.ErrNotSupported)
}
