package main

import (
	"fmt"
	"slices"
	"strings"

	"github.com/arbutusline/arbutusline/rules"
)

// drainTarget holds the arguments of drain and undrain.
type drainTarget struct {
	Endpoint string `arg:"" optional:"" help:"ID of the endpoint."`
	Host     string `help:"Host, instead of an endpoint: applies to all its endpoints."`
	Author   string `name:"who" required:"" help:"Author of the change."`
	Reason   string `name:"why" required:"" help:"Reason for the change."`
}

// drainRule returns the rule that drains the target.
func (t *drainTarget) drainRule() (string, error) {
	if strings.ContainsAny(t.Author, " \t:#") {
		return "", markedErrorf(errUsage, "--who %q: expected one word without \":\" and \"#\"", t.Author)
	}
	switch {
	case (t.Endpoint == "") == (t.Host == ""):
		return "", markedErrorf(errUsage, "give either an endpoint or --host HOST")
	case t.Host != "":
		return "drain host " + t.Host, nil
	}
	return "drain endpoint " + t.Endpoint, nil
}

// isDefined reports whether the rules define the endpoint, or an endpoint on the host.
func (t *drainTarget) isDefined(text string) bool {
	return slices.ContainsFunc(rules.Lines(text), func(l rules.Line) bool {
		if !strings.HasPrefix(l.Key(), "endpoint ") {
			return false
		}
		words := strings.Fields(l.Rule)
		hostIndex := slices.Index(words, "host")
		return l.Key() == "endpoint "+t.Endpoint || (t.Host != "" && hostIndex > 0 && hostIndex+1 < len(words) && words[hostIndex+1] == t.Host)
	})
}

// editRules changes the rules in force with changeText, which receives their text and
// the drain rule of the target.
func (t *drainTarget) editRules(inv *invocation, changeText func(text, rule string) (string, error)) error {
	rule, err := t.drainRule()
	if err != nil {
		return err
	}
	admin, err := inv.newRuleAdmin()
	if err != nil {
		return err
	}
	result, err := admin.Edit(inv.ctx, t.Author, t.Reason, func(text string) (string, error) {
		if !t.isDefined(text) {
			return "", markedErrorf(errNotFound, "no rule defines the %s", strings.TrimPrefix(rule, "drain "))
		}
		return changeText(text, rule)
	})
	if err != nil {
		return err
	}
	inv.printChangeResult(result)
	return nil
}

type drainCmd struct {
	drainTarget
}

// Run adds a drain rule, unless the rules already contain it.
func (c *drainCmd) Run(inv *invocation) error {
	return c.editRules(inv, func(text, rule string) (string, error) {
		if slices.ContainsFunc(rules.Lines(text), func(l rules.Line) bool { return l.Rule == rule }) {
			return text, nil
		}
		if text != "" && !strings.HasSuffix(text, "\n") {
			text += "\n"
		}
		return text + rules.Format(fmt.Sprintf("%s # %s: %s", rule, c.Author, c.Reason)), nil
	})
}

type undrainCmd struct {
	drainTarget
}

// Run removes the drain rules of the target. An endpoint stays drained while a drain
// rule of its host remains, and the reverse.
func (c *undrainCmd) Run(inv *invocation) error {
	return c.editRules(inv, func(text, rule string) (string, error) {
		lines := strings.Split(text, "\n")
		kept := slices.DeleteFunc(lines, func(l string) bool {
			parsed := rules.Lines(l)
			return len(parsed) == 1 && parsed[0].Rule == rule
		})
		return strings.Join(kept, "\n"), nil
	})
}
