package operator

import (
	"context"
	"fmt"
	"slices"

	"github.com/dandelionlift/dandelionlift/internal/process/journal"
	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/identity"
)

// target is one value in the configuration.
type target struct {
	// subject names the value in the audit trail.
	subject string
	read    func(configuration.Configuration) (string, bool)
	write   func(*configuration.Configuration) error
}

func (o Operator) set(text string, s set) (*order, error) {
	t, err := o.target(text, s)
	if err != nil {
		return nil, err
	}
	present := o.Snapshot().Configuration
	seen, _ := t.read(present)
	return &order{
		unseen: func(c configuration.Configuration) error {
			if now, ok := t.read(c); !ok || now != seen {
				return t.odds(present.Version, now)
			}
			return nil
		},
		change: func(c configuration.Configuration) (configuration.Configuration, error) {
			return c, t.write(&c)
		},
		accepted: func(context.Context, identity.Version) error { return nil },
		preview: func(context.Context) (Table, error) {
			next := present.Clone()
			err := t.write(&next)
			after, _ := t.read(next)
			return Table{Columns: []string{"value", "before", "after"}, Rows: [][]string{{t.subject, seen, after}}}, err
		},
		note: "accepted as version %d",
	}, nil
}

// odds finds the command that changed the value after version seen.
func (t target) odds(seen identity.Version, now string) *odds {
	return &odds{
		problem: fmt.Sprintf("%s was changed to %q since", t.subject, now),
		by: func(e journal.Entry) bool {
			parsed, err := parse(e.Line)
			return err == nil && e.Version > seen && parsed.Set != nil && parsed.Set.subject() == t.subject
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

func (o Operator) target(text string, s set) (target, error) {
	c := o.Snapshot().Configuration
	switch {
	case s.Service != nil:
		a := s.Service
		in := list[configuration.Service]{
			values: func(c configuration.Configuration) []configuration.Service { return c.Services },
			named:  func(v configuration.Service) bool { return string(v.ID) == a.ID.Text },
			fields: serviceFields,
		}
		if !slices.ContainsFunc(c.Services, in.named) {
			return target{}, unknown(text, "service", a.ID, serviceNames(c))
		}
		return in.target(text, s.subject(), a.Field, a.Value)
	case s.Organisation != nil:
		a := s.Organisation
		in := list[configuration.Organisation]{
			values: func(c configuration.Configuration) []configuration.Organisation { return c.Organisations },
			named:  func(v configuration.Organisation) bool { return string(v.ID) == a.ID.Text },
			fields: organisationFields,
		}
		if !slices.ContainsFunc(c.Organisations, in.named) {
			return target{}, unknown(text, "organisation", a.ID, organisationNames(c))
		}
		return in.target(text, s.subject(), a.Field, a.Value)
	default:
		return o.priceTarget(text, s)
	}
}

func (o Operator) priceTarget(text string, s set) (target, error) {
	c, a := o.Snapshot().Configuration, s.Price
	if !slices.Contains(zoneNames(c), a.Zone.Text) {
		return target{}, unknown(text, "zone", a.Zone, zoneNames(c))
	}
	in := list[configuration.Price]{
		values: func(c configuration.Configuration) []configuration.Price { return c.Prices },
		named: func(v configuration.Price) bool {
			return string(v.Zone) == a.Zone.Text && string(v.Class) == a.Class.Text
		},
		fields: priceFields,
	}
	if !slices.ContainsFunc(c.Prices, in.named) {
		return target{}, unknown(text, "class", a.Class, classNames(c, a.Zone.Text))
	}
	return in.target(text, s.subject(), a.Field, a.Value)
}

// list is where values of one type stand in the configuration.
type list[T any] struct {
	values func(configuration.Configuration) []T
	named  func(T) bool
	fields []field[T]
}

// target finds a field, and reads the value once to refuse it early.
func (l list[T]) target(text, subject string, named, value name) (target, error) {
	f, ok := find(l.fields, named.Text)
	if !ok {
		return target{}, unknown(text, "field", named, fieldNames(l.fields))
	}
	var trial T
	if err := f.put(&trial, value.Text); err != nil {
		return target{}, wrong(text, value.Pos, "%s", err.Error())
	}
	return target{
		subject: subject,
		read: func(c configuration.Configuration) (string, bool) {
			i := slices.IndexFunc(l.values(c), l.named)
			if i < 0 {
				return "", false
			}
			return f.get(l.values(c)[i]), true
		},
		write: func(c *configuration.Configuration) error {
			i := slices.IndexFunc(l.values(*c), l.named)
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
