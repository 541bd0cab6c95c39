package configuration

import "strings"

// Idempotent reports whether a call is idempotent. The rule with the longest
// matching prefix decides; a call that no rule matches is not idempotent.
func (s Service) Idempotent(method, path string) bool {
	if s.Kind == Model {
		return true
	}
	longest, idempotent := -1, false
	for _, rule := range s.CallRules {
		if rule.Method != method || !strings.HasPrefix(path, rule.PathPrefix) {
			continue
		}
		if len(rule.PathPrefix) > longest {
			longest, idempotent = len(rule.PathPrefix), rule.Idempotent
		}
	}
	return idempotent
}
