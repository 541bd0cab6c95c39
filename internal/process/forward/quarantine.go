package forward

import (
	"encoding/binary"
	"time"

	"github.com/zeebo/xxh3"

	"github.com/dandelionlift/dandelionlift/internal/process/balance"
	"github.com/dandelionlift/dandelionlift/internal/process/quarantine"
	"github.com/dandelionlift/dandelionlift/internal/request/verdict"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// sharedParts returns the parts of a prompt but the last, which is the call's own.
func sharedParts(parts []balance.Part) []quarantine.PartID {
	if len(parts) == 0 {
		return nil
	}
	shared := make([]quarantine.PartID, len(parts)-1)
	for i := range shared {
		shared[i] = quarantine.PartID(parts[i].ID)
	}
	return shared
}

// fingerprint identifies a call by what a repeat of it has in common with it: its
// organisation, method, host, target and body. All hosts get the same one, and so do the
// services among which a route's calls are split.
func fingerprint(c *Call) quarantine.Fingerprint {
	h := xxh3.New()
	organisation := identity.Organisation("")
	if c.Organisation != nil {
		organisation = c.Organisation.ID
	}
	for _, field := range []string{string(organisation), c.Method, c.Host, c.Target} {
		// The length keeps fields apart. A Hasher's Write returns no error.
		_, _ = h.Write(binary.AppendUvarint(nil, uint64(len(field))))
		_, _ = h.WriteString(field)
	}
	_, _ = h.Write(c.Body)
	return quarantine.Fingerprint(h.Sum64())
}

// checkQuarantine returns a refusal if a call, or calls with its parts, are quarantined.
// The caller is told to come back when the quarantine ends.
func (f *Forwarder) checkQuarantine(service identity.Service, parts []quarantine.PartID, call quarantine.Fingerprint) *verdict.Error {
	if remaining, quarantined := f.Quarantine.CheckCall(call); quarantined {
		return refused(verdict.CallQuarantined, remaining)
	}
	remaining, quarantined := f.Quarantine.Check(service, parts)
	if !quarantined {
		return nil
	}
	return refused(verdict.PromptQuarantined, remaining)
}

func (k *forwarding) quarantineAttempt(choice balance.Choice, inProgress time.Duration) quarantine.Attempt {
	return quarantine.Attempt{Service: k.Service.ID, Endpoint: choice.Endpoint.Incarnation, Call: k.fingerprint, Parts: k.shared, InProgress: inProgress}
}

// recordAnswer records an answer as evidence that the call, its parts and its endpoint are sound,
// unless it may have ended early without a sign.
func (k *forwarding) recordAnswer(choice balance.Choice, inProgress time.Duration) {
	if k.answerDelimited {
		k.f.Quarantine.RecordAnswer(k.quarantineAttempt(choice, inProgress))
	}
}
