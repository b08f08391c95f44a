package hbctl

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"heatherbarrow/internal/rpc"
)

// drain takes a host's name or its operator address.
func (a *app) drain(ctx context.Context, args []string) error {
	target, err := one(args, "host or operator address")
	if err != nil {
		return err
	}
	address, err := a.addressOf(ctx, target)
	if err != nil {
		return err
	}
	response, err := a.control(address).Drain(ctx, &rpc.DrainRequest{Exit: true})
	if err != nil {
		return err
	}
	fmt.Fprintf(a.stdout, "drain started with %d requests in progress\n", response.InProgress)
	return nil
}

func (a *app) addressOf(ctx context.Context, target string) (string, error) {
	if strings.Contains(target, ":") {
		return target, nil
	}
	for _, s := range a.statuses(ctx) {
		if s.response != nil && s.response.Self.Host == target {
			return s.address, nil
		}
	}
	return "", fmt.Errorf("no control that can be reached is on a host named %q", target)
}

// lookupCommand is "hbctl lookup".
type lookupCommand struct {
	command
	Team string `long:"team" value-name:"TEAM" required:"true" description:"team that made the request"`
}

func (l *lookupCommand) find(ctx context.Context, args []string) error {
	id, err := one(args, "request id")
	if err != nil {
		return err
	}
	asked := 0
	for _, address := range l.app.settings.Controls {
		answer, err := l.app.control(address).Lookup(ctx, &rpc.LookupRequest{RequestId: id, Team: l.Team})
		if err != nil {
			continue
		}
		asked++
		if answer.InProgress {
			fmt.Fprintf(l.app.stdout, "request %s: in progress, outcome unknown\n", id)
			return nil
		}
		if answer.Found {
			fmt.Fprintf(l.app.stdout, "request %s: outcome %s, status %d\n", id, answer.Outcome, answer.Status)
			return nil
		}
	}
	if asked == 0 {
		return errors.New("no control could be reached")
	}
	return fmt.Errorf("no host that can be reached knows request %s of team %s", id, l.Team)
}
