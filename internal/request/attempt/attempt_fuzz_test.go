package attempt_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/attempt"
	"github.com/dandelionlift/dandelionlift/internal/request/call"
	"github.com/dandelionlift/dandelionlift/internal/version/fleet"
)

// body answers every request with the same bytes.
type body []byte

func (b body) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(b)),
	}, nil
}

// FuzzRun gives an attempt any bytes as an engine's answer. No error means that
// the answer is whole.
func FuzzRun(f *testing.F) {
	const head = `data: {"request":"r","incarnation":"i",`
	f.Add([]byte(head + `"offset":0,"tokens":["a "]}` + "\n\n" + head + `"offset":1,"done":true,"usage":{}}` + "\n\n"))
	f.Add([]byte(head + `"done":true}` + "\n\n"))
	f.Add([]byte(head + `"offset":-1,"tokens":["a","b"]}` + "\n\n"))
	f.Add([]byte(head + `"offset":0,"tokens":["a "]}` + "\n\n" + head + `"offset":9,"done":true,"usage":{}}` + "\n\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client := engine.Client{HTTP: &http.Client{Transport: body(data)}}
		a := answer.New()
		endpoint := fleet.Endpoint{Incarnation: "i", Address: netip.MustParseAddrPort("127.0.0.1:1")}
		silence := attempt.Silence{FirstToken: time.Minute, Between: time.Minute}
		err := attempt.Run(context.Background(), client, call.Call{Request: "r"}, endpoint, a, silence)
		if err != nil {
			return
		}
		piece, err := a.Read(context.Background(), 0)
		if err != nil || !piece.Done {
			t.Fatalf("no error, but not done: %v", err)
		}
		if piece.Failure != nil {
			t.Fatalf("no error, but failed: %v", piece.Failure)
		}
	})
}
