package group

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"

	"chervilloom/internal/clock"
	"chervilloom/internal/fleet"
	"chervilloom/internal/platform"
	"chervilloom/internal/view"
)

// Table is the part of the platform's table client that this package uses.
type Table interface {
	List(ctx context.Context, table, prefix string) ([]platform.Row, error)
	Commit(ctx context.Context, txn platform.Txn) (platform.Result, error)
}

// rows caches the claims table and the zone's rows of the groups table.
type rows struct {
	claims map[fleet.VM]view.Claim
	groups map[fleet.GroupID]view.TableGroup
	readAt clock.Instant // start of the read
}

// readRows lists the claims and the zone's groups. Group ids begin with the
// zone's name, so a prefix selects the zone's rows.
func readRows(ctx context.Context, t Table, zone fleet.AvailabilityZone, now clock.Instant, log *slog.Logger) (*rows, error) {
	vms, err := t.List(ctx, platform.TableVMs, "")
	if err != nil {
		return nil, fmt.Errorf("group: cannot list claims: %w", err)
	}
	groups, err := t.List(ctx, platform.TableGroups, string(zone)+".")
	if err != nil {
		return nil, fmt.Errorf("group: cannot list groups of zone: %w", err)
	}
	r := &rows{claims: make(map[fleet.VM]view.Claim, len(vms)), groups: make(map[fleet.GroupID]view.TableGroup, len(groups)), readAt: now}
	for i := range vms {
		r.put(&vms[i], log)
	}
	for i := range groups {
		r.put(&groups[i], log)
	}
	// The prefix of zone "a" also matches ids of zone "a.b".
	maps.DeleteFunc(r.groups, func(_ fleet.GroupID, g view.TableGroup) bool { return g.Group.Zone != zone })
	return r, nil
}

// put stores one decoded row. A row that cannot be decoded is logged and skipped.
func (r *rows) put(row *platform.Row, log *slog.Logger) {
	switch row.Table {
	case platform.TableVMs:
		c, err := decodeClaim(row)
		if err != nil {
			log.Error("cannot decode claim row; release the VM by hand", "vm", row.Key, "err", err)
			return
		}
		r.claims[fleet.VM(row.Key)] = c
	case platform.TableGroups:
		if row.Version == 0 {
			delete(r.groups, fleet.GroupID(row.Key))
			return
		}
		g := view.TableGroup{Version: row.Version}
		if err := json.Unmarshal(row.Value, &g.Group); err != nil {
			log.Error("cannot decode group row; delete the row by hand", "group", row.Key, "err", err)
			return
		}
		r.groups[g.Group.ID] = g
	}
}

func decodeClaim(row *platform.Row) (view.Claim, error) {
	var c view.Claim
	if row.Version == 0 {
		return c, nil
	}
	err := json.Unmarshal(row.Value, &c)
	c.Version = row.Version
	return c, err
}

// event returns the rows as an event for the view.
func (r *rows) event(zone fleet.AvailabilityZone) view.Table {
	e := view.Table{At: r.readAt, Zone: zone, Complete: true}
	for vm, c := range r.claims {
		e.VMs = append(e.VMs, view.TableVM{VM: vm, Claim: c})
	}
	for _, g := range r.groups {
		e.Groups = append(e.Groups, g)
	}
	return e
}

func (r *rows) groupList() []view.TableGroup {
	out := make([]view.TableGroup, 0, len(r.groups))
	for _, g := range r.groups {
		out = append(out, g)
	}
	return out
}
