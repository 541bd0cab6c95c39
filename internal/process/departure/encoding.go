package departure

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/connection/keyvalue"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// Departures is what one host tells others. It is encoded as one string, as it is in each
// report: for each endpoint the era, number and sequence of the evidence in base 36, a mark
// that tells whether the departure was announced, and the incarnation, as in
// "1.1xlu.14!i-7f3a@1764947919000 1.1xlv.9:i-80b2@1764947920000".
type Departures map[identity.Incarnation]Evidence

const (
	// textBase is the base of the encoded numbers.
	textBase = 36
	// separator separates endpoints. Incarnations that contain it are not encoded.
	separator = " "
	// announcedMark and otherMark come between evidence and incarnation.
	announcedMark, otherMark = "!", ":"
)

// MarshalJSON encodes departures in the order of their incarnations.
func (d Departures) MarshalJSON() ([]byte, error) {
	var text strings.Builder
	for _, id := range slices.Sorted(maps.Keys(d)) {
		if strings.Contains(string(id), separator) {
			continue
		}
		if text.Len() > 0 {
			text.WriteString(separator)
		}
		e, mark := d[id], otherMark
		if e.Announced {
			mark = announcedMark
		}
		fmt.Fprintf(&text, "%s.%s.%s%s%s", strconv.FormatUint(uint64(e.Revision.Era()), textBase),
			strconv.FormatUint(e.Revision.Number(), textBase), strconv.FormatUint(e.Sequence, textBase), mark, id)
	}
	return json.Marshal(text.String())
}

// UnmarshalJSON decodes what MarshalJSON has encoded.
func (d *Departures) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err != nil {
		return err
	}
	decoded := make(Departures)
	for _, field := range strings.Fields(text) {
		id, e, err := decode(field)
		if err != nil {
			return fmt.Errorf("departure: %q: %w", field, err)
		}
		decoded[id] = e
	}
	*d = decoded
	return nil
}

// decode decodes one endpoint and its evidence.
func decode(field string) (identity.Incarnation, Evidence, error) {
	end := strings.IndexAny(field, announcedMark+otherMark)
	if end < 0 || end == len(field)-1 {
		return "", Evidence{}, fmt.Errorf("no incarnation after %q or %q", announcedMark, otherMark)
	}
	numbers := strings.Split(field[:end], ".")
	if len(numbers) != 3 {
		return "", Evidence{}, fmt.Errorf("%d numbers, not 3", len(numbers))
	}
	era, err := strconv.ParseUint(numbers[0], textBase, keyvalue.EraBits)
	if err != nil {
		return "", Evidence{}, err
	}
	number, err := strconv.ParseUint(numbers[1], textBase, 64-keyvalue.EraBits)
	if err != nil {
		return "", Evidence{}, err
	}
	sequence, err := strconv.ParseUint(numbers[2], textBase, 64)
	if err != nil {
		return "", Evidence{}, err
	}
	return identity.Incarnation(field[end+1:]), Evidence{
		Revision: keyvalue.NewRevision(keyvalue.Era(era), number), Sequence: sequence, Announced: field[end:end+1] == announcedMark,
	}, nil
}
