package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// target is the configuration value that a set command changes.
type target struct {
	// subject identifies the value, for example "service ID FIELD".
	subject string
	read    func(configuration.Configuration) (string, bool)
	write   func(*configuration.Configuration) error
}

func (in Interpreter) set(text string, s set) (*operation, error) {
	t, err := in.target(text, s)
	if err != nil {
		return nil, err
	}
	current := in.Snapshot().Configuration
	before, _ := t.read(current)
	return &operation{
		checkUnchanged: func(c configuration.Configuration) error {
			if value, ok := t.read(c); !ok || value != before {
				return t.conflict(current.Version, value)
			}
			return nil
		},
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			return c, t.write(&c)
		},
		onAccepted: func(context.Context, identity.Version) error { return nil },
		preview: func(context.Context) (Table, error) {
			next := current.Clone()
			err := t.write(&next)
			after, _ := t.read(next)
			return Table{Columns: []string{"value", "before", "after"}, Rows: [][]string{{t.subject, before, after}}}, err
		},
		noteFormat: "accepted as version %d",
	}, nil
}

// conflict returns the error for a value that was changed after seenVersion.
func (t target) conflict(seenVersion identity.Version, value string) *conflictError {
	return &conflictError{
		problem: fmt.Sprintf("%s was changed to %q since", t.subject, value),
		matches: func(e journal.Entry) bool {
			parsed, err := parse(e.Line)
			return err == nil && e.Version > seenVersion && parsed.Set != nil && parsed.Set.subject() == t.subject
		},
	}
}

func (s set) subject() string {
	switch {
	case s.Service != nil:
		return "service " + s.Service.ID.Text + " " + s.Service.Field.Text
	case s.Organisation != nil:
		return "organisation " + s.Organisation.ID.Text + " " + s.Organisation.Field.Text
	default:
		return "price " + s.Price.Zone.Text + " " + s.Price.Class.Text + " " + s.Price.Field.Text
	}
}

func (in Interpreter) target(text string, s set) (target, error) {
	c := in.Snapshot().Configuration
	switch {
	case s.Service != nil:
		assignment := s.Service
		elements := elementList[configuration.Service]{
			values:  func(c configuration.Configuration) []configuration.Service { return c.Services },
			matches: func(v configuration.Service) bool { return string(v.ID) == assignment.ID.Text },
			fields:  serviceFields,
		}
		if !slices.ContainsFunc(c.Services, elements.matches) {
			return target{}, unknownName(text, "service", assignment.ID, serviceNames(c))
		}
		return elements.target(text, s.subject(), assignment.Field, assignment.Value)
	case s.Organisation != nil:
		assignment := s.Organisation
		elements := elementList[configuration.Organisation]{
			values:  func(c configuration.Configuration) []configuration.Organisation { return c.Organisations },
			matches: func(v configuration.Organisation) bool { return string(v.ID) == assignment.ID.Text },
			fields:  organisationFields,
		}
		if !slices.ContainsFunc(c.Organisations, elements.matches) {
			return target{}, unknownName(text, "organisation", assignment.ID, organisationNames(c))
		}
		return elements.target(text, s.subject(), assignment.Field, assignment.Value)
	default:
		return in.priceTarget(text, s)
	}
}

func (in Interpreter) priceTarget(text string, s set) (target, error) {
	c, assignment := in.Snapshot().Configuration, s.Price
	if !slices.Contains(zoneNames(c), assignment.Zone.Text) {
		return target{}, unknownName(text, "zone", assignment.Zone, zoneNames(c))
	}
	elements := elementList[configuration.Price]{
		values: func(c configuration.Configuration) []configuration.Price { return c.Prices },
		matches: func(v configuration.Price) bool {
			return string(v.Zone) == assignment.Zone.Text && string(v.Class) == assignment.Class.Text
		},
		fields: priceFields,
	}
	if !slices.ContainsFunc(c.Prices, elements.matches) {
		return target{}, unknownName(text, "class", assignment.Class, classNames(c, assignment.Zone.Text))
	}
	return elements.target(text, s.subject(), assignment.Field, assignment.Value)
}

// elementList describes a list in the configuration: values returns it, matches
// selects the element that a command names, fields are those that can be set.
type elementList[T any] struct {
	values  func(configuration.Configuration) []T
	matches func(T) bool
	fields  []field[T]
}

// target returns the target for a field. It parses the value once, so that a
// malformed one is refused before the command is proposed.
func (l elementList[T]) target(text, subject string, fieldName, value name) (target, error) {
	f, ok := findField(l.fields, fieldName.Text)
	if !ok {
		return target{}, unknownName(text, "field", fieldName, fieldNames(l.fields))
	}
	var trial T
	if err := f.put(&trial, value.Text); err != nil {
		return target{}, mistakeAt(text, value.Pos, "%s", err.Error())
	}
	return target{
		subject: subject,
		read: func(c configuration.Configuration) (string, bool) {
			i := slices.IndexFunc(l.values(c), l.matches)
			if i < 0 {
				return "", false
			}
			return f.get(l.values(c)[i]), true
		},
		write: func(c *configuration.Configuration) error {
			i := slices.IndexFunc(l.values(*c), l.matches)
			return f.put(&l.values(*c)[i], value.Text)
		},
	}, nil
}

func serviceNames(c configuration.Configuration) []string {
	var names []string
	for _, s := range c.Services {
		names = append(names, string(s.ID))
	}
	return names
}

func organisationNames(c configuration.Configuration) []string {
	var names []string
	for _, o := range c.Organisations {
		names = append(names, string(o.ID))
	}
	return names
}

func zoneNames(c configuration.Configuration) []string {
	var names []string
	for _, z := range c.Zones {
		names = append(names, string(z.ID))
	}
	return names
}

func classNames(c configuration.Configuration, zone string) []string {
	var names []string
	for _, p := range c.Prices {
		if string(p.Zone) == zone {
			names = append(names, string(p.Class))
		}
	}
	return names
}
