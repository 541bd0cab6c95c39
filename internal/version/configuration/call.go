package configuration

import "strings"

// Idempotent reports whether a call may be repeated. The rule with the longest
// matching prefix decides; a call that no rule matches may not be repeated.
func (s Service) Idempotent(method, path string) bool {
	if s.Kind == Model {
		return true
	}
	longest, repeatable := -1, false
	for _, rule := range s.CallRules {
		if rule.Method != method || !strings.HasPrefix(path, rule.PathPrefix) {
			continue
		}
		if len(rule.PathPrefix) > longest {
			longest, repeatable = len(rule.PathPrefix), rule.Idempotent
		}
	}
	return repeatable
}
