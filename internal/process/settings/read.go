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

// Class groups the errors of settings files.
var Class = errs.Class("settings")

// ReadEntry reads the file of an entry host and, if it names one, its bootstrap
// configuration. The error is Mistakes, of both files, where their text is wrong.
func ReadEntry(path string) (Entry, configuration.Configuration, error) {
	var bootstrap configuration.Configuration
	var beside Mistakes
	check := func(e Entry) []configuration.Mistake {
		if e.Bootstrap.Configuration == "" {
			return e.Check()
		}
		var err error
		file := filepath.Join(filepath.Dir(path), e.Bootstrap.Configuration)
		bootstrap, beside, err = read(file, bootstrap, configuration.Configuration.Check)
		return append(e.Check(), e.checkBootstrap(bootstrap, err)...)
	}
	s, found, err := read(path, DefaultEntry(), check)
	return s, bootstrap, errors.Join(err, append(found, beside...).err())
}

// Read reads one file strictly: out of defaults, an unknown key, a wrong unit,
// and all that check finds make Mistakes, listed together.
func Read[T any](path string, defaults T, check func(T) []configuration.Mistake) (T, error) {
	out, found, err := read(path, defaults, check)
	return out, errors.Join(err, found.err())
}

func read[T any](path string, defaults T, check func(T) []configuration.Mistake) (T, Mistakes, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return defaults, nil, Class.Wrap(err)
	}
	out, found := Parse(path, text, defaults, check)
	return out, found, nil
}

// Parse is Read for a text that is already there; file is only for messages.
func Parse[T any](file string, text []byte, defaults T, check func(T) []configuration.Mistake) (T, Mistakes) {
	d, wrong := parseDocument(text)
	if wrong != nil {
		wrong.File = file
		return defaults, Mistakes{*wrong}
	}
	out, found := decode(d, defaults)
	taken := make(map[int]bool, len(found))
	for _, m := range found {
		taken[m.Line] = m.Key != ""
	}
	for _, m := range check(out) {
		line := d.line(m.Key)
		if !taken[line] {
			found = append(found, Mistake{Mistake: m, Line: line})
		}
	}
	for i := range found {
		found[i].File = file
	}
	return out, found.sorted()
}

// decode reads the document again without each value that can't be read, so
// that one mistake doesn't hide the next.
func decode[T any](d document, defaults T) (T, Mistakes) {
	found := d.takeWrongKinds(schemaOf[T]())
	for range len(d.expressions) + 1 {
		out := defaults
		decoder := toml.NewDecoder(bytes.NewReader(d.text)).DisallowUnknownFields()
		err := decoder.Decode(&out)
		if err == nil {
			return out, found
		}
		var unknown *toml.StrictMissingError
		if errors.As(err, &unknown) {
			return out, append(found, unknownKeys(d, unknown, schemaOf[T]())...)
		}
		var wrong *toml.DecodeError
		if !errors.As(err, &wrong) {
			return out, append(found, mistake(1, "", err.Error(), "another value"))
		}
		line, _ := wrong.Position()
		e, _ := d.around(line)
		found = append(found, wrongValue(e, wrong, schemaOf[T]()))
		if e.kind != unstable.KeyValue {
			return out, found
		}
		d.text = d.without(e)
	}
	return defaults, found
}

// takeWrongKinds blanks values that must be a text and aren't: a bare number
// would be taken for nanoseconds.
func (d *document) takeWrongKinds(s schema) Mistakes {
	var found Mistakes
	for _, e := range d.expressions {
		if e.kind != unstable.KeyValue || e.value == unstable.String {
			continue
		}
		at, ok := s.at(e.key)
		if !ok || !at.isText() {
			continue
		}
		problem := "is not a text in quotes"
		if at.isDuration() && (e.value == unstable.Integer || e.value == unstable.Float) {
			problem = "a duration without a unit"
		}
		found = append(found, mistake(e.line, e.key, problem, at.want()))
		d.text = d.without(e)
	}
	return found
}

func wrongValue(e expression, wrong *toml.DecodeError, s schema) Mistake {
	problem := strings.TrimPrefix(wrong.Error(), "toml: ")
	want := "another value"
	if at, ok := s.at(e.key); ok {
		want = at.want()
	}
	if strings.Contains(problem, "already") {
		want = "each key once"
	}
	return mistake(e.line, e.key, problem, want)
}

func unknownKeys(d document, unknown *toml.StrictMissingError, s schema) Mistakes {
	var found Mistakes
	for _, one := range unknown.Errors {
		line, _ := one.Position()
		key := strings.Join(one.Key(), ".")
		if e, ok := d.around(line); ok && e.line == line {
			key = e.key
		}
		table, name := s, one.Key()[len(one.Key())-1]
		if above, ok := s.at(parent(key)); ok && parent(key) != "" {
			table = above.element()
		}
		found = append(found, mistake(line, key, fmt.Sprintf("unknown key %q", name), "a key of this table"+spelling.Suggest(name, table.keys())))
	}
	return found
}

func mistake(line int, key, problem, want string) Mistake {
	return Mistake{Mistake: configuration.Mistake{Key: key, Problem: problem, Want: want}, Line: line}
}
