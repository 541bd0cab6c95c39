package settings

import (
	"encoding"
	"net/netip"
	"reflect"
	"strings"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
)

// schema is the Go type that a table or value is decoded into.
type schema struct {
	reflect.Type
}

func schemaOf[T any]() schema {
	return schema{reflect.TypeFor[T]()}
}

// lookup returns the type at a path such as service[0].first_token, and reports
// whether there is such a key.
func (s schema) lookup(path string) (schema, bool) {
	for part := range strings.SplitSeq(path, ".") {
		name, _, _ := strings.Cut(part, "[")
		field, ok := s.element().field(name)
		if !ok {
			return schema{}, false
		}
		s = field
	}
	return s, true
}

// element returns the element type of a slice, and any other type unchanged.
func (s schema) element() schema {
	if s.Kind() == reflect.Slice {
		return schema{s.Elem()}
	}
	return s
}

func (s schema) field(name string) (schema, bool) {
	if s.Kind() != reflect.Struct {
		return schema{}, false
	}
	for f := range s.Fields() {
		if strings.EqualFold(f.Tag.Get("toml"), name) {
			return schema{f.Type}, true
		}
	}
	return schema{}, false
}

// keys returns the keys of a table in declaration order.
func (s schema) keys() []string {
	var all []string
	if s.Kind() != reflect.Struct {
		return nil
	}
	for f := range s.Fields() {
		if name := f.Tag.Get("toml"); name != "" && name != "-" {
			all = append(all, name)
		}
	}
	return all
}

func (s schema) isDuration() bool {
	return s.Type == reflect.TypeFor[configuration.Duration]()
}

// isTextUnmarshaler reports whether the type is decoded from a string.
func (s schema) isTextUnmarshaler() bool {
	return reflect.PointerTo(s.Type).Implements(reflect.TypeFor[encoding.TextUnmarshaler]())
}

// expectedFormat describes how a value of this type is written.
func (s schema) expectedFormat() string {
	switch s.Type {
	case reflect.TypeFor[netip.AddrPort]():
		return `an IP number and port, such as "127.0.0.1:8080"`
	case reflect.TypeFor[netip.Addr]():
		return `an IP number, such as "127.0.0.1"`
	case reflect.TypeFor[configuration.Duration]():
		return configuration.DurationFormat
	}
	switch s.Kind() {
	case reflect.String:
		return "a quoted string"
	case reflect.Bool:
		return "true or false"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	case reflect.Struct:
		return "a table"
	default:
		return "a whole number"
	}
}

// CountKeys returns how many of the keys and tables in a text exist in T.
func CountKeys[T any](text []byte) int {
	d, _ := parseDocument(text)
	count := 0
	for _, e := range d.expressions {
		if _, ok := schemaOf[T]().lookup(e.key); ok {
			count++
		}
	}
	return count
}
