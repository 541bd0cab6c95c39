package configuration

import (
	"encoding/hex"
	"fmt"
	"math"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/spelling"
)

// Mistake is an invalid value in a configuration or in settings.
type Mistake struct {
	// Key is the path of the value, such as service[0].first_token.
	Key string
	// Problem says what is wrong.
	Problem string
	// Want describes a valid value.
	Want string
}

// String formats the mistake on one line.
func (m Mistake) String() string {
	return m.Key + ": " + m.Problem + "; write " + m.Want
}

// Checker collects mistakes. The zero value has none.
type Checker struct {
	// Mistakes are in the order of the checks.
	Mistakes []Mistake
}

// Add records a mistake.
func (c *Checker) Add(key, problem, want string) {
	c.Mistakes = append(c.Mistakes, Mistake{Key: key, Problem: problem, Want: want})
}

// Require records a mistake unless ok.
func (c *Checker) Require(ok bool, key, problem, want string) {
	if !ok {
		c.Add(key, problem, want)
	}
}

const nameFormat = `a name of letters, digits, "-", "_" and "."`

// Name checks that an id is not empty and has only characters that are allowed in
// one word of an operator's command.
func (c *Checker) Name(key, id string) {
	if id == "" {
		c.Add(key, "is missing", nameFormat)
		return
	}
	c.Require(strings.IndexFunc(id, isInvalidInName) < 0, key, fmt.Sprintf("%q has a character that is not allowed in a name", id), nameFormat)
}

func isInvalidInName(r rune) bool {
	valid := 'a' <= r && r <= 'z' || 'A' <= r && r <= 'Z' || '0' <= r && r <= '9'
	return !valid && !strings.ContainsRune("-_.", r)
}

// OneOf checks that name is in known.
func (c *Checker) OneOf(key, kind, name string, known []string) {
	for _, k := range known {
		if k == name {
			return
		}
	}
	if name == "" {
		c.Add(key, "is missing", "one of "+strings.Join(known, ", "))
		return
	}
	want := "one of " + strings.Join(known, ", ")
	if len(known) == 0 {
		want = "one that is declared"
	}
	if nearest, ok := spelling.Nearest(name, known); ok {
		want = fmt.Sprintf("%q?", nearest)
	}
	c.Add(key, fmt.Sprintf("unknown %s %q", kind, name), want)
}

// SHA256 checks that digest is a SHA-256 in lower-case hex.
func (c *Checker) SHA256(key, digest string) {
	const want = "the 64 lower-case hex digits of a SHA-256"
	if digest == "" {
		c.Add(key, "is missing", want)
		return
	}
	decoded, err := hex.DecodeString(digest)
	ok := err == nil && len(decoded) == sha256Bytes && strings.ToLower(digest) == digest
	c.Require(ok, key, fmt.Sprintf("%q is not a SHA-256 in hex", digest), want)
}

const sha256Bytes = 32

// Positive checks that value is a finite number above 0.
func (c *Checker) Positive(key string, value float64) {
	ok := value > 0 && !math.IsInf(value, 0)
	c.Require(ok, key, fmt.Sprintf("is missing or %v", value), "a number above 0")
}

// NonNegative checks that value is a finite number of at least 0.
func (c *Checker) NonNegative(key string, value float64) {
	ok := value >= 0 && !math.IsInf(value, 0)
	c.Require(ok, key, fmt.Sprintf("is %v", value), "a number of at least 0")
}

// PositiveDuration checks that a duration is above 0.
func (c *Checker) PositiveDuration(key string, value Duration) {
	text, _ := value.MarshalText()
	c.Require(value > 0, key, fmt.Sprintf("is missing or %s", text), DurationFormat)
}

// DurationFormat describes how a duration is written.
const DurationFormat = `a number with its unit, such as "1300ms"`

// Unique detects duplicate ids. The zero value has seen none.
type Unique struct {
	firstKey map[string]string
}

// Add records a mistake if id has already been seen at another key. Empty ids
// are ignored.
func (u *Unique) Add(c *Checker, key, kind, id string) {
	if u.firstKey == nil {
		u.firstKey = make(map[string]string)
	}
	if id == "" {
		return
	}
	if previous, ok := u.firstKey[id]; ok {
		c.Add(key, fmt.Sprintf("duplicate %s %q, which %s has", kind, id, previous), "another one")
		return
	}
	u.firstKey[id] = key
}
