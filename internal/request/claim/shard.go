package claim

import "bytes"

// Decision is whether a call may take its claim.
type Decision uint8

// The decisions.
const (
	// Free means that no request holds the claim.
	Free Decision = iota
	// HeldByRequest means that the same request holds it.
	HeldByRequest
	// HeldByOther means that another request holds it, with the same content.
	HeldByOther
	// KeyReused means that the key belongs to a call with different content.
	KeyReused
)

// Decide compares the claim found in a shard, or nil, with the wanted one.
func Decide(found, wanted *Entry) Decision {
	switch {
	case found == nil:
		return Free
	case found.Request == wanted.Request && found.State != State_RELEASED:
		return HeldByRequest
	case !bytes.Equal(found.Content, wanted.Content):
		return KeyReused
	case found.State == State_RELEASED:
		return Free
	default:
		return HeldByOther
	}
}

// Index maps each id to its newest entry.
type Index map[ID]*Entry

// Add adds entries in order of age, oldest first.
func (x Index) Add(entries []*Entry) {
	for _, e := range entries {
		x[ID(e.Id)] = e
	}
}

// Put stores an entry in the open part, replacing an older one of the same id.
func (h *Head) Put(e *Entry) {
	for i, old := range h.Open {
		if bytes.Equal(old.Id, e.Id) {
			h.Open[i] = e
			return
		}
	}
	h.Open = append(h.Open, e)
}

// DropExpired drops the sealed segments that have expired at the time now, which is
// in seconds since 1970.
func (h *Head) DropExpired(now int64) {
	kept := h.Sealed[:0]
	for _, s := range h.Sealed {
		if s.Until > now {
			kept = append(kept, s)
		}
	}
	h.Sealed = kept
}

// NewOutcome returns the outcome for an answer. It leaves out the body and the content
// type if they are longer than MaxBodyBytes together.
func NewOutcome(status int, contentType string, body []byte) *Outcome {
	if len(body)+len(contentType) > MaxBodyBytes {
		return &Outcome{Status: int32(status), BodyLeftOut: true}
	}
	return &Outcome{Status: int32(status), ContentType: contentType, Body: body}
}

// ReleasedEntry returns the entry that releases a claim whose call did not run.
func ReleasedEntry(held *Entry) *Entry {
	return &Entry{Id: held.Id, Content: held.Content, Request: held.Request, State: State_RELEASED}
}

// RanEntry returns the entry of a call that ran.
func RanEntry(held *Entry, o *Outcome) *Entry {
	return &Entry{Id: held.Id, Content: held.Content, Request: held.Request, State: State_RAN, Outcome: o}
}
