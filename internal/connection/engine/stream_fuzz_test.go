package engine_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"testing"

	"github.com/dandelionlift/dandelionlift/internal/connection/engine"
	"github.com/dandelionlift/dandelionlift/internal/request/answer"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
)

// body responds to every request with the same bytes.
type body []byte

func (b body) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{
		StatusCode: http.StatusOK, Header: http.Header{}, Request: r, Body: io.NopCloser(bytes.NewReader(b)),
	}, nil
}

// FuzzStream reads arbitrary bytes as an engine's answer and checks that the text
// assembled from its frames has no gap and that the offset never decreases.
func FuzzStream(f *testing.F) {
	f.Add([]byte("data: {\"request\":\"r\",\"incarnation\":\"i\",\"offset\":0,\"tokens\":[\"a \"]}\n\ndata: {\"done\":true,\"offset\":1}\n\n"))
	f.Add([]byte("data: {\"offset\":3,\"tokens\":[\"a\"]}\n\n"))
	f.Add([]byte("data: {\"offset\":-1,\"tokens\":[\"a\",\"b\"]}\n\n"))
	f.Add([]byte(": comment\n\ndata: {\"error\":\"full\"}\n\n"))
	f.Add([]byte("data: {\"done\":true}\n\n"))
	f.Add([]byte("event: x\r\ndata: [DONE]\r\n\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		client := engine.Client{HTTP: &http.Client{Transport: body(data)}}
		stream, err := client.Complete(context.Background(), netip.MustParseAddrPort("127.0.0.1:1"), engine.Completion{})
		if err != nil {
			t.Fatal(err)
		}
		defer stream.Close()
		assembled := answer.New()
		for {
			frame, err := stream.Next()
			if err != nil {
				return
			}
			before := assembled.TokenCount()
			_, err = assembled.AppendAndWake(frame.Offset, frame.Tokens)
			after := assembled.TokenCount()
			if frame.Offset > before && verdict.FromError(err) == nil {
				t.Fatalf("gap from offset %d to %d was accepted", before, frame.Offset)
			}
			if after < before {
				t.Fatalf("offset decreased from %d to %d", before, after)
			}
		}
	})
}
