package configuration

import "strings"

// Repeatable tells whether a call may be repeated: the longest matching rule
// decides, and a call that no rule names may not.
func (s Service) Repeatable(method, path string) bool {
	if s.Kind == Model {
		return true
	}
	longest, repeatable := -1, false
	for _, rule := range s.Calls {
		if rule.Method != method || !strings.HasPrefix(path, rule.PathPrefix) {
			continue
		}
		if len(rule.PathPrefix) > longest {
			longest, repeatable = len(rule.PathPrefix), rule.Repeatable
		}
	}
	return repeatable
}
