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

// The two ends prove different texts, so that no proof can be sent back.
const (
	callerRole = "caller"
	calleeRole = "callee"
)

// ErrStranger tells that the other end does not know a key of ours.
var ErrStranger = errors.New("peer: the other end does not know a key of ours")

// Keys are the shared keys of a deployment. The first is used to call, all are
// accepted; with none, nobody is.
type Keys []string

// Require lets only callers through that know a key, and proves to them that
// this end knows it too.
func (k Keys) Require(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		nonce, proof := r.Header.Get(nonceHeader), r.Header.Get(proofHeader)
		for _, key := range k {
			if nonce == "" || !proves(proof, key, callerRole, nonce) {
				continue
			}
			w.Header().Set(proofHeader, prove(key, calleeRole, nonce))
			next.ServeHTTP(w, r)
			return
		}
		http.Error(w, "unknown peer key", http.StatusUnauthorized)
	})
}

// Transport makes base prove the first key on each call, and refuse answers of
// an end that does not know it.
func (k Keys) Transport(base http.RoundTripper) http.RoundTripper {
	return keyed{keys: k, base: base}
}

type keyed struct {
	keys Keys
	base http.RoundTripper
}

// RoundTrip sends a copy of r, as http.RoundTripper asks.
func (t keyed) RoundTrip(r *http.Request) (*http.Response, error) {
	if len(t.keys) == 0 {
		return nil, ErrStranger
	}
	nonce := newNonce()
	r = r.Clone(r.Context())
	r.Header.Set(nonceHeader, nonce)
	r.Header.Set(proofHeader, prove(t.keys[0], callerRole, nonce))
	response, err := t.base.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if !proves(response.Header.Get(proofHeader), t.keys[0], calleeRole, nonce) {
		response.Body.Close()
		return nil, ErrStranger
	}
	return response, nil
}

func newNonce() string {
	raw := make([]byte, nonceBytes)
	rand.Read(raw)
	return base64.RawStdEncoding.EncodeToString(raw)
}

func prove(key, role, nonce string) string {
	mac := hmac.New(sha256.New, []byte(key))
	mac.Write([]byte(role))
	mac.Write([]byte(nonce))
	return base64.RawStdEncoding.EncodeToString(mac.Sum(nil)[:proofBytes])
}

func proves(proof, key, role, nonce string) bool {
	return hmac.Equal([]byte(proof), []byte(prove(key, role, nonce)))
}
