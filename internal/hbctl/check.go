package hbctl

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"heatherbarrow/internal/bundle"
	"heatherbarrow/internal/configcheck"
	"heatherbarrow/internal/configdiff"
	"heatherbarrow/internal/gateway/routing"
	"heatherbarrow/internal/rollout"
	"heatherbarrow/platform"
)

const (
	formatBundle = "bundle"
	outputJSON   = "json"
)

// checkCommand is "hbctl check".
type checkCommand struct {
	command
	InForce  string         `long:"in-force" value-name:"FILE" description:"configuration in force; print the differences from it"`
	Format   string         `long:"format" choice:"operators" choice:"bundle" default:"operators" description:"format of the files: that of the operators' platform, or a bundle"`
	Output   string         `long:"output" choice:"text" choice:"json" default:"text" description:"format of the output"`
	Strict   bool           `long:"strict" description:"exit with 1 also if there are only warnings"`
	Replicas map[string]int `long:"replicas" key-value-delimiter:"=" value-name:"UPSTREAM=N" description:"number of replicas of an upstream, to compare the attempts of a request with; repeatable"`
	MemoryMB *int           `long:"memory-mb" value-name:"N" description:"memory limit of a host in MiB, to compare the body limit with"`
}

// checkResult is the output in JSON.
type checkResult struct {
	File     string                `json:"file"`
	Errors   int                   `json:"errors"`
	Warnings int                   `json:"warnings"`
	Findings []configcheck.Finding `json:"findings"`
	Changes  []configdiff.Change   `json:"changes,omitzero"` // nil if the files were not compared
}

// check returns an error if the configuration must not be rolled out, and a settingsError if it cannot be checked.
func (c *checkCommand) check(_ context.Context, args []string) error {
	file, err := one(args, "file")
	if err != nil {
		return &settingsError{err}
	}
	if err := c.checkOptions(); err != nil {
		return &settingsError{err}
	}
	data, err := os.ReadFile(file)
	if err != nil {
		return &settingsError{err}
	}
	var inForce []byte
	if c.InForce != "" {
		if inForce, err = os.ReadFile(c.InForce); err != nil {
			return &settingsError{err}
		}
	}
	result := checkResult{File: file, Findings: []configcheck.Finding{}}
	if c.Format == formatBundle {
		err = c.checkBundle(&result, data, inForce)
	} else {
		err = c.checkOperators(&result, data, inForce)
	}
	if err != nil {
		return &settingsError{err}
	}
	for _, f := range result.Findings {
		if f.Severity == configcheck.Error {
			result.Errors++
		} else {
			result.Warnings++
		}
	}
	if err := c.print(&result); err != nil {
		return err
	}
	if result.Errors > 0 || c.Strict && result.Warnings > 0 {
		return fmt.Errorf("%s: errors: %d, warnings: %d", file, result.Errors, result.Warnings)
	}
	return nil
}

func (c *checkCommand) checkOptions() error {
	if c.Format == formatBundle && (len(c.Replicas) > 0 || c.MemoryMB != nil) {
		return errors.New("--replicas and --memory-mb apply to --format operators only")
	}
	for upstream, n := range c.Replicas {
		if n < 0 {
			return fmt.Errorf("--replicas: %s=%d is negative", upstream, n)
		}
	}
	if c.MemoryMB != nil && *c.MemoryMB < 1 {
		return fmt.Errorf("--memory-mb: %d is not at least 1", *c.MemoryMB)
	}
	return nil
}

// checkOperators returns an error only if an option names no upstream or the configuration in force cannot be decoded.
func (c *checkCommand) checkOperators(result *checkResult, data, inForce []byte) error {
	options := configcheck.Options{Replicas: c.Replicas}
	if c.MemoryMB != nil {
		options.MemoryMB = *c.MemoryMB
	}
	result.Findings = append(result.Findings, platform.CheckConfig(data, options)...)
	config, err := platform.DecodeConfig(data)
	if err != nil {
		return nil // among the findings
	}
	for name := range c.Replicas {
		if !slices.ContainsFunc(config.Upstreams, func(u routing.Upstream) bool { return u.Name == name }) {
			return fmt.Errorf("--replicas: no upstream is named %q", name)
		}
	}
	if c.InForce == "" {
		return nil
	}
	changes, findings, err := platform.CompareConfigs(inForce, data)
	if err != nil {
		return fmt.Errorf("%s: %w", c.InForce, err)
	}
	result.Changes = append([]configdiff.Change{}, changes...)
	result.Findings = append(result.Findings, findings...)
	return nil
}

// checkBundle returns an error only if the bundle in force cannot be decoded.
func (c *checkCommand) checkBundle(result *checkResult, data, inForce []byte) error {
	next, findings := configcheck.Bundle(data)
	result.Findings = append(result.Findings, findings...)
	if next == nil || c.InForce == "" {
		return nil
	}
	before, err := bundle.Parse(inForce)
	if err != nil {
		return fmt.Errorf("%s: %w", c.InForce, err)
	}
	result.Changes = append([]configdiff.Change{}, rollout.Diff(before, next)...)
	return nil
}

func (c *checkCommand) print(result *checkResult) error {
	out := c.app.stdout
	if c.Output == outputJSON {
		encoder := json.NewEncoder(out)
		encoder.SetIndent("", "  ")
		encoder.SetEscapeHTML(false) // changes are written as "before -> after"
		return encoder.Encode(result)
	}
	for _, f := range result.Findings {
		at := result.File
		if f.Path != "" {
			at += ": " + f.Path
		}
		fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, at, f.Problem)
	}
	if len(result.Findings) == 0 {
		fmt.Fprintln(out, result.File+": ok")
	}
	if result.Changes != nil {
		fmt.Fprintf(out, "changed since %s:\n", c.InForce)
		c.app.printChanges(result.Changes)
	}
	return nil
}
