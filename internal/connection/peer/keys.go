package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"net/http"
)

const (
	nonceHeader = "Peer-Nonce"
	proofHeader = "Peer-Proof"
	nonceBytes  = 12
	proofBytes  = 16
)

// Each proof covers the role of the end that makes it, so that a callee can't
// send the caller's proof back as its own.
const (
	callerRole = "caller"
	calleeRole = "callee"
)

// ErrUnknownKey says that the other end did not prove that it knows the shared key, or
// that this end has no key.
var ErrUnknownKey = errors.New("peer: no proof of a shared key with the remote host")

// Keys are the shared keys of a deployment. Calls are made with the first; calls
// made with any of them are accepted. If there are none, no call is accepted.
type Keys []string

// RequireProof returns a handler that rejects calls without proof of a key, and
// proves to the caller that this end knows the key too.
func (k Keys) RequireProof(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nonce, proof := r.Header.Get(nonceHeader), r.Header.Get(proofHeader)
		for _, key := range k {
			if nonce == "" || !verifyProof(proof, key, callerRole, nonce) {
				continue
			}
			w.Header().Set(proofHeader, computeProof(key, calleeRole, nonce))
			next.ServeHTTP(w, r)
			return
		}
		http.Error(w, "unknown peer key", http.StatusUnauthorized)
	})
}

// Transport returns a RoundTripper that adds proof of the first key to each call
// and rejects responses without the callee's proof.
func (k Keys) Transport(base http.RoundTripper) http.RoundTripper {
	return proofTransport{keys: k, base: base}
}

type proofTransport struct {
	keys Keys
	base http.RoundTripper
}

// RoundTrip sends a copy of r, because an http.RoundTripper must not modify it.
func (t proofTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if len(t.keys) == 0 {
		return nil, ErrUnknownKey
	}
	nonce := newNonce()
	r = r.Clone(r.Context())
	r.Header.Set(nonceHeader, nonce)
	r.Header.Set(proofHeader, computeProof(t.keys[0], callerRole, nonce))
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if !verifyProof(response.Header.Get(proofHeader), t.keys[0], calleeRole, nonce) {
		response.Body.Close()
		return nil, ErrUnknownKey
	}
	return response, nil
}

func newNonce() string {
	raw := make([]byte, nonceBytes)
	rand.Read(raw)
	return base64.RawStdEncoding.EncodeToString(raw)
}

func computeProof(key, role, nonce string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(role))
	mac.Write([]byte(nonce))
	return base64.RawStdEncoding.EncodeToString(mac.Sum(nil)[:proofBytes])
}

func verifyProof(proof, key, role, nonce string) bool {
	return hmac.Equal([]byte(proof), []byte(computeProof(key, role, nonce)))
}
