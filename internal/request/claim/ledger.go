package claim

import "bytes"

// Decision is what a shard says to a call that wants its claim.
type Decision uint8

// The decisions.
const (
	// Free means that nobody holds the claim.
	Free Decision = iota
	// Held means that this very request holds it.
	Held
	// Taken means that another request holds it, for the same call.
	Taken
	// Reused means that another call holds the key.
	Reused
)

// Decide compares what a shard holds under an id, or nil, with a wanted claim.
func Decide(found, wanted *Entry) Decision {
	switch {
	case found == nil:
		return Free
	case found.Request == wanted.Request && found.State != State_RELEASED:
		return Held
	case !bytes.Equal(found.Content, wanted.Content):
		return Reused
	case found.State == State_RELEASED:
		return Free
	default:
		return Taken
	}
}

// Index finds the newest entry of each id.
type Index map[ID]*Entry

// Add takes entries in, oldest first.
func (x Index) Add(entries []*Entry) {
	for _, e := range entries {
		x[ID(e.Id)] = e
	}
}

// Put sets the newest state of an entry in the open part, replacing an older
// state of the same id.
func (h *Head) Put(e *Entry) {
	for i, old := range h.Open {
		if bytes.Equal(old.Id, e.Id) {
			h.Open[i] = e
			return
		}
	}
	h.Open = append(h.Open, e)
}

// Outlive drops the sealed segments that lapsed by now, in seconds since 1970.
func (h *Head) Outlive(now int64) {
	kept := h.Sealed[:0]
	for _, s := range h.Sealed {
		if s.Until > now {
			kept = append(kept, s)
		}
	}
	h.Sealed = kept
}

// Record makes the outcome of an answer, leaving out a body that is too large.
func Record(status int, contentType string, body []byte) *Outcome {
	if len(body)+len(contentType) > MaxBodyBytes {
		return &Outcome{Status: int32(status), BodyLeftOut: true}
	}
	return &Outcome{Status: int32(status), ContentType: contentType, Body: body}
}

// Release makes the entry that frees a claim whose call did not run.
func Release(held *Entry) *Entry {
	return &Entry{Id: held.Id, Content: held.Content, Request: held.Request, State: State_RELEASED}
}

// Ran makes the entry of a call that ran.
func Ran(held *Entry, o *Outcome) *Entry {
	return &Entry{Id: held.Id, Content: held.Content, Request: held.Request, State: State_RAN, Outcome: o}
}
