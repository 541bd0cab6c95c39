package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// field is a value that operators can set. Its name is the configuration's key.
type field[T any] struct {
	name string
	get  func(T) string
	// put parses a text into the value; its error names the expected format.
	put func(*T, string) error
}

// findField returns the field with the given name.
func findField[T any](fields []field[T], key string) (field[T], bool) {
	for _, f := range fields {
		if f.name == key {
			return f, true
		}
	}
	return field[T]{}, false
}

// fieldNames returns the names of fields.
func fieldNames[T any](fields []field[T]) []string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

var serviceFields = []field[configuration.Service]{
	durationField("first_token", func(s *configuration.Service) *configuration.Duration { return &s.FirstTokenTarget }),
	durationField("between_tokens", func(s *configuration.Service) *configuration.Duration { return &s.TokenIntervalTarget }),
	numberField("cost_weight_ms_per_coin", func(s *configuration.Service) *float64 { return &s.CostWeight }),
	numberField("recompute_weight_ms_per_token", func(s *configuration.Service) *float64 { return &s.RecomputeWeight }),
	numberField("retry_share", func(s *configuration.Service) *float64 { return &s.RetryShare }),
	textField("model_version", func(s *configuration.Service) *string { return &s.ModelVersion }),
	textField("adapter", func(s *configuration.Service) *string { return &s.Adapter }),
}

var organisationFields = []field[configuration.Organisation]{
	numberField("weight", func(o *configuration.Organisation) *float64 { return &o.Weight }),
	integerField("tokens_per_second", func(o *configuration.Organisation) *unit.Tokens { return &o.TokensPerSecond }),
	listField("key_sha256", func(o *configuration.Organisation) *[]string { return &o.KeySHA256 }),
}

var priceFields = []field[configuration.Price]{
	integerField("reclaimable_micro_per_hour", func(p *configuration.Price) *unit.Money { return &p.Reclaimable }),
	integerField("on_demand_micro_per_hour", func(p *configuration.Price) *unit.Money { return &p.OnDemand }),
}

func durationField[T any](key string, ptr func(*T) *configuration.Duration) field[T] {
	get := func(v T) string { return time.Duration(*ptr(&v)).String() }
	put := func(v *T, text string) error {
		if err := ptr(v).UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("%w; expected %s", err, configuration.DurationFormat)
		}
		return nil
	}
	return field[T]{name: key, get: get, put: put}
}

func numberField[T any](key string, ptr func(*T) *float64) field[T] {
	get := func(v T) string { return formatNumber(*ptr(&v)) }
	put := func(v *T, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number; expected one such as 0.1", text)
		}
		*ptr(v) = value
		return nil
	}
	return field[T]{name: key, get: get, put: put}
}

func integerField[T any, N ~int64](key string, ptr func(*T) *N) field[T] {
	get := func(v T) string { return strconv.FormatInt(int64(*ptr(&v)), 10) }
	put := func(v *T, text string) error {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number; expected one such as 300000", text)
		}
		*ptr(v) = N(value)
		return nil
	}
	return field[T]{name: key, get: get, put: put}
}

func textField[T any](key string, ptr func(*T) *string) field[T] {
	get := func(v T) string { return *ptr(&v) }
	put := func(v *T, text string) error {
		*ptr(v) = text
		return nil
	}
	return field[T]{name: key, get: get, put: put}
}

// listField parses a comma-separated list.
func listField[T any](key string, ptr func(*T) *[]string) field[T] {
	get := func(v T) string { return strings.Join(*ptr(&v), ",") }
	put := func(v *T, text string) error {
		*ptr(v) = strings.Split(text, ",")
		return nil
	}
	return field[T]{name: key, get: get, put: put}
}

func formatNumber(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
