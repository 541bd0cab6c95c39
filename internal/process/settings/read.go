package settings

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/zeebo/errs"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/spelling"
)

// Class groups the errors of reading settings files.
var Class = errs.Class("settings")

// ReadEntry reads the settings file of an entry host and, if it names one, its
// bootstrap configuration. Mistakes in either file are returned as Mistakes.
func ReadEntry(path string) (Entry, configuration.Configuration, error) {
	var bootstrap configuration.Configuration
	var bootstrapMistakes Mistakes
	check := func(e Entry) []configuration.Mistake {
		if e.Bootstrap.Configuration == "" {
			return e.Check()
		}
		var err error
		file := filepath.Join(filepath.Dir(path), e.Bootstrap.Configuration)
		bootstrap, bootstrapMistakes, err = read(file, bootstrap, configuration.Configuration.Check)
		return append(e.Check(), e.checkBootstrap(bootstrap, err)...)
	}
	s, mistakes, err := read(path, DefaultEntry(), check)
	return s, bootstrap, errors.Join(err, append(mistakes, bootstrapMistakes...).asError())
}

// Read reads a file strictly, on top of defaults. Unknown keys, values of the wrong
// type and all mistakes that check finds are returned together as Mistakes.
func Read[T any](path string, defaults T, check func(T) []configuration.Mistake) (T, error) {
	out, mistakes, err := read(path, defaults, check)
	return out, errors.Join(err, mistakes.asError())
}

func read[T any](path string, defaults T, check func(T) []configuration.Mistake) (T, Mistakes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, nil, Class.Wrap(err)
	}
	out, mistakes := Parse(path, text, defaults, check)
	return out, mistakes, nil
}

// Parse is like Read for a text in memory; file is used in messages only.
func Parse[T any](file string, text []byte, defaults T, check func(T) []configuration.Mistake) (T, Mistakes) {
	d, syntaxMistake := parseDocument(text)
	if syntaxMistake != nil {
		syntaxMistake.File = file
		return defaults, Mistakes{*syntaxMistake}
	}
	out, mistakes := decode(d, defaults)
	// What check finds on the line of a key that was reported already is left out.
	reported := make(map[int]bool, len(mistakes))
	for _, m := range mistakes {
		reported[m.Line] = m.Key != ""
	}
	for _, m := range check(out) {
		line := d.line(m.Key)
		if !reported[line] {
			mistakes = append(mistakes, Mistake{Mistake: m, Line: line})
		}
	}
	for i := range mistakes {
		mistakes[i].File = file
	}
	return out, mistakes.sortedByLine()
}

// decode decodes the document and returns all its mistakes: it blanks a value that
// can't be decoded and tries again, so that one mistake doesn't hide the next.
func decode[T any](d document, defaults T) (T, Mistakes) {
	mistakes := d.blankWrongTypes(schemaOf[T]())
	for range len(d.expressions) + 1 {
		out := defaults
		decoder := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields()
		err := decoder.Decode(&out)
		if err == nil {
			return out, mistakes
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return out, append(mistakes, unknownKeys(d, unknown, schemaOf[T]())...)
		}
		var decodeErr *toml.DecodeError
		if !errors.As(err, &decodeErr) {
			return out, append(mistakes, newMistake(1, "", err.Error(), "another value"))
		}
		line, _ := decodeErr.Position()
		e, _ := d.enclosing(line)
		mistakes = append(mistakes, wrongValue(e, decodeErr, schemaOf[T]()))
		if e.kind != unstable.KeyValue {
			return out, mistakes
		}
		d.text = d.withBlanked(e)
	}
	return defaults, mistakes
}

// blankWrongTypes blanks values that must be strings but aren't. Otherwise a
// duration without a unit would be decoded as nanoseconds.
func (d *document) blankWrongTypes(s schema) Mistakes {
	var mistakes Mistakes
	for _, e := range d.expressions {
		if e.kind != unstable.KeyValue || e.valueKind == unstable.String {
			continue
		}
		field, ok := s.lookup(e.key)
		if !ok || !field.isTextUnmarshaler() {
			continue
		}
		problem := "is not a quoted string"
		if field.isDuration() && (e.valueKind == unstable.Integer || e.valueKind == unstable.Float) {
			problem = "a duration without a unit"
		}
		mistakes = append(mistakes, newMistake(e.line, e.key, problem, field.expectedFormat()))
		d.text = d.withBlanked(e)
	}
	return mistakes
}

func wrongValue(e expression, decodeErr *toml.DecodeError, s schema) Mistake {
	problem := strings.TrimPrefix(decodeErr.Error(), "toml: ")
	want := "another value"
	if field, ok := s.lookup(e.key); ok {
		want = field.expectedFormat()
	}
	if strings.Contains(problem, "already") {
		want = "each key once"
	}
	return newMistake(e.line, e.key, problem, want)
}

func unknownKeys(d document, unknown *toml.StrictMissingError, s schema) Mistakes {
	var mistakes Mistakes
	for _, keyErr := range unknown.Errors {
		line, _ := keyErr.Position()
		key := strings.Join(keyErr.Key(), ".")
		if e, ok := d.enclosing(line); ok && e.line == line {
			key = e.key
		}
		table, name := s, keyErr.Key()[len(keyErr.Key())-1]
		if parentSchema, ok := s.lookup(parent(key)); ok && parent(key) != "" {
			table = parentSchema.element()
		}
		mistakes = append(mistakes, newMistake(line, key, fmt.Sprintf("unknown key %q", name), "a key of this table"+spelling.Suggest(name, table.keys())))
	}
	return mistakes
}

func newMistake(line int, key, problem, want string) Mistake {
	return Mistake{Mistake: configuration.Mistake{Key: key, Problem: problem, Want: want}, Line: line}
}
