package caller

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/connection/pause"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Call is a call to a plain service.
type Call struct {
	Service identity.Service
	Method  string
	Path    string
	// Key is the Idempotency-Key, if not empty.
	Key  string
	Body string
}

// CallService makes a call to a plain service. A call with a Key, or a GET, is retried
// until there is an answer that holds for all attempts: NotRun says nothing about
// an earlier attempt whose answer was lost.
func (c Client) CallService(ctx context.Context, key string, call Call) Result {
	result := Result{}
	var attempts []Attempt
	for attempt := range maxAttempts {
		if attempt > 0 {
			pause.For(ctx, retryDelay)
		}
		request, err := c.plainRequest(ctx, key, call)
		if err != nil {
			return Result{Failure: verdict.Wrap(verdict.NotRun, verdict.BadRequest, err)}
		}
		sent := time.Now()
		result = c.sendOnce(request)
		attempts = append(attempts, Attempt{SentAt: sent, AnsweredAt: time.Now(), Verdict: result.verdict()})
		result.Attempts = attempts
		if isFinal(attempts, call) || ctx.Err() != nil {
			return result
		}
	}
	if mayHaveRun(attempts) {
		result.Failure = verdict.New(verdict.MayHaveRun, result.Failure.Reason, "an earlier attempt may have run")
	}
	return result
}

func (c Client) plainRequest(ctx context.Context, key string, call Call) (*http.Request, error) {
	target := "http://" + c.PickAddress() + "/v1/services/" + string(call.Service) + call.Path
	request, err := http.NewRequestWithContext(ctx, call.Method, target, strings.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+key)
	if call.Key != "" {
		request.Header.Set("Idempotency-Key", call.Key)
	}
	return request, nil
}

// verdict returns the verdict of one attempt.
func (r Result) verdict() verdict.Verdict {
	if r.Failure == nil {
		return verdict.Ran
	}
	return r.Failure.Verdict
}

// mayHaveRun reports whether the verdict of any attempt is MayHaveRun.
func mayHaveRun(attempts []Attempt) bool {
	for _, a := range attempts {
		if a.Verdict == verdict.MayHaveRun {
			return true
		}
	}
	return false
}

// isFinal reports whether the last attempt determines the outcome of the call, or the call
// can't be retried.
func isFinal(attempts []Attempt, call Call) bool {
	last := attempts[len(attempts)-1]
	if last.Verdict == verdict.Ran {
		return true
	}
	if last.Verdict == verdict.NotRun {
		return !mayHaveRun(attempts)
	}
	return call.Key == "" && call.Method != http.MethodGet
}

// sendOnce makes one attempt; a zero Status means that there was no complete answer.
func (c Client) sendOnce(request *http.Request) Result {
	sent := time.Now()
	response, err := c.HTTP.Do(request)
	if err != nil {
		return Result{Failure: verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)}
	}
	defer response.Body.Close()
	result := Result{
		Request:    identity.Request(response.Header.Get(engine.RequestHeader)),
		Status:     response.StatusCode,
		FirstToken: time.Since(sent),
	}
	if strings.HasPrefix(response.Header.Get("Content-Type"), "application/problem+json") {
		result.Failure = readProblem(response)
		return result
	}
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Status = 0
		result.Failure = verdict.Wrap(verdict.MayHaveRun, verdict.EndpointLost, err)
		return result
	}
	result.Text = string(body)
	result.Complete = response.StatusCode == http.StatusOK
	if !result.Complete {
		result.Failure = verdict.New(verdict.MayHaveRun, verdict.EndpointLost, fmt.Sprintf("status %d", response.StatusCode))
	}
	return result
}
