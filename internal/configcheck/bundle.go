package configcheck

import (
	"errors"
	"fmt"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/settings"
)

// Bundle decodes a bundle as hosts do and returns the mistakes in it. The bundle is nil if hosts reject it; the only
// finding is then the first error.
func Bundle(data []byte) (*bundle.Bundle, []Finding) {
	b, err := bundle.Parse(data)
	if err != nil {
		finding := Finding{Severity: Error, Problem: err.Error()}
		var field *settings.FieldError
		if errors.As(err, &field) {
			finding.Path, finding.Problem = field.Path, field.Problem
		}
		return nil, []Finding{finding}
	}
	var findings []Finding
	warn := func(path, format string, args ...any) {
		findings = append(findings, Finding{Severity: Warning, Path: path, Problem: fmt.Sprintf(format, args...)})
	}
	served, used, routed := make(map[string]bool), make(map[string]bool), make(map[string]bool)
	for _, u := range b.Upstreams {
		for _, class := range u.Classes {
			served[class] = true
		}
	}
	for _, t := range b.Teams {
		for _, class := range t.Classes {
			used[class] = true
		}
	}
	for _, r := range b.Routes {
		routed[r.Upstream] = true
	}
	for i, c := range b.Classes {
		path := fmt.Sprintf("classes[%d]", i)
		if !served[c.Name] {
			warn(path, "no upstream serves %q", c.Name)
		}
		if !used[c.Name] {
			warn(path, "no team may use %q", c.Name)
		}
	}
	for i, u := range b.Upstreams {
		path := fmt.Sprintf("upstreams[%d]", i)
		if u.Kind == bundle.KindService && !routed[u.Name] {
			warn(path, "no route names the service %q", u.Name)
		}
		if len(u.Replicas) == 0 {
			warn(path+".replicas", "%q has no replicas", u.Name)
		}
	}
	return b, findings
}
