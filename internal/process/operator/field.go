package operator

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/dandelionlift/dandelionlift/internal/version/configuration"
	"github.com/dandelionlift/dandelionlift/internal/version/unit"
)

// field is one value that operators set. Its name is the configuration's key.
type field[T any] struct {
	name string
	get  func(T) string
	// put reads a text into the value; the error says what would be right.
	put func(*T, string) error
}

// find gives the field of a name.
func find[T any](fields []field[T], named string) (field[T], bool) {
	for _, f := range fields {
		if f.name == named {
			return f, true
		}
	}
	return field[T]{}, false
}

// fieldNames lists what can be set.
func fieldNames[T any](fields []field[T]) []string {
	names := make([]string, 0, len(fields))
	for _, f := range fields {
		names = append(names, f.name)
	}
	return names
}

var serviceFields = []field[configuration.Service]{
	durationField("first_token", func(s *configuration.Service) *configuration.Duration { return &s.FirstToken }),
	durationField("between_tokens", func(s *configuration.Service) *configuration.Duration { return &s.BetweenTokens }),
	numberField("cost_weight_ms_per_coin", func(s *configuration.Service) *float64 { return &s.CostWeight }),
	numberField("recompute_weight_ms_per_token", func(s *configuration.Service) *float64 { return &s.RecomputeWeight }),
	numberField("retry_share", func(s *configuration.Service) *float64 { return &s.RetryShare }),
	textField("model_version", func(s *configuration.Service) *string { return &s.ModelVersion }),
	textField("adapter", func(s *configuration.Service) *string { return &s.Adapter }),
}

var organisationFields = []field[configuration.Organisation]{
	numberField("weight", func(o *configuration.Organisation) *float64 { return &o.Weight }),
	wholeField("tokens_per_second", func(o *configuration.Organisation) *unit.Tokens { return &o.TokensPerSecond }),
	listField("key_sha256", func(o *configuration.Organisation) *[]string { return &o.KeySHA256 }),
}

var priceFields = []field[configuration.Price]{
	wholeField("reclaimable_micro_per_hour", func(p *configuration.Price) *unit.Money { return &p.Reclaimable }),
	wholeField("on_demand_micro_per_hour", func(p *configuration.Price) *unit.Money { return &p.OnDemand }),
}

func durationField[T any](named string, at func(*T) *configuration.Duration) field[T] {
	get := func(v T) string { return time.Duration(*at(&v)).String() }
	put := func(v *T, text string) error {
		if err := at(v).UnmarshalText([]byte(text)); err != nil {
			return fmt.Errorf("%w; expected %s", err, configuration.WantDuration)
		}
		return nil
	}
	return field[T]{name: named, get: get, put: put}
}

func numberField[T any](named string, at func(*T) *float64) field[T] {
	get := func(v T) string { return number(*at(&v)) }
	put := func(v *T, text string) error {
		value, err := strconv.ParseFloat(text, 64)
		if err != nil {
			return fmt.Errorf("%q is not a number; expected one such as 0.1", text)
		}
		*at(v) = value
		return nil
	}
	return field[T]{name: named, get: get, put: put}
}

func wholeField[T any, N ~int64](named string, at func(*T) *N) field[T] {
	get := func(v T) string { return strconv.FormatInt(int64(*at(&v)), 10) }
	put := func(v *T, text string) error {
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return fmt.Errorf("%q is not a whole number; expected one such as 300000", text)
		}
		*at(v) = N(value)
		return nil
	}
	return field[T]{name: named, get: get, put: put}
}

func textField[T any](named string, at func(*T) *string) field[T] {
	get := func(v T) string { return *at(&v) }
	put := func(v *T, text string) error {
		*at(v) = text
		return nil
	}
	return field[T]{name: named, get: get, put: put}
}

// listField takes a text with commas between the values.
func listField[T any](named string, at func(*T) *[]string) field[T] {
	get := func(v T) string { return strings.Join(*at(&v), ",") }
	put := func(v *T, text string) error {
		*at(v) = strings.Split(text, ",")
		return nil
	}
	return field[T]{name: named, get: get, put: put}
}

func number(value float64) string {
	return strconv.FormatFloat(value, 'f', -1, 64)
}
