package batch

import (
	"context"
	"errors"
	"fmt"

	"github.com/currantloft/currantloft/object"
)

// Team returns the team that submitted a batch, empty for none.
func (k *Keeper) Team(ctx context.Context, id string) (string, error) {
	head, _, err := k.lookupHead(ctx, id)
	if err != nil || !head.TeamUnknown {
		return head.Team, err
	}
	team, err := k.storedTeam(ctx, id)
	if errors.Is(err, object.ErrNotFound) {
		return "", ErrUnknown
	}
	if err != nil {
		return "", fmt.Errorf("%w: %w", ErrUndetermined, err)
	}
	return team, nil
}

// storedTeam returns the team of a batch as its stored head says, and records it.
func (k *Keeper) storedTeam(ctx context.Context, id string) (string, error) {
	record, err := object.GetImmutable(ctx, k.deps.Store, kindHeads, id)
	if err != nil {
		return "", err
	}
	head, err := decodeHead(record)
	if err != nil {
		return "", err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.applyLocked(Notification{Head: head})
	return head.Team, nil
}

// checkTeam returns ErrUnknown if a submission repeats a batch of another team.
func (k *Keeper) checkTeam(ctx context.Context, s Submission) error {
	if !k.hasTeams() {
		return nil
	}
	owner, err := k.Team(ctx, s.ID)
	if err == nil && !k.mayUse(s.Team, owner) {
		return ErrUnknown
	}
	return err
}

// mayUse reports whether a team may use a batch of the owner.
func (k *Keeper) mayUse(team, owner string) bool {
	return owner == "" || owner == team || !k.hasTeams()
}

// hasTeams reports whether the configuration in force has teams.
func (k *Keeper) hasTeams() bool {
	table := k.deps.Routes()
	return table != nil && table.HasTeams()
}
