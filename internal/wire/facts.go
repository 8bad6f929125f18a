package wire

import (
	"encoding/json"
	"errors"
	"fmt"

	"vetchwood/logic"
)

// settings is the part of the Facts field that the decision module uses.
type settings struct {
	Dcs, HostTypes      []string
	ResolutionMs        float64
	Me, Balancers, Zone int
	MembershipMode      string
	Weights             string
	Bounds              struct{ MayProbe, Peers bool }
	Classes             []struct {
		DeadlineMs, TargetMs, MemorySpanMs, LateShare, Worth float64
		Group, Name, Repeat                                  string
	}
	Report struct {
		Columns []string
		Via     string
	}
	Rules struct {
		AskWithinMs, ColdFrom, DrainGraceMs, FallMs, TipMultiple, WarmAfterMs float64
		FullMayHaveRun, GoneIsAdvice                                          bool
	}
	Specifics struct {
		Admission, SelectsBy                                         string
		ClassOwnZone, WriteClasses                                   []bool
		DataPlaneSize, Ejects, MessagesMost, Slices, RetryDefault    int
		EgressPerS, FixedCost, IntakePerS, PendingMax, PerTry        float64
		InFlightMaxMs, PeriodMs, PropagationMs, WorstTransitMs       float64
		UnservedMaxMs, UpdateWindowMs, WaitsForTableMs, WriteLeaseMs float64
		OneOwner, WarmKeys                                           bool
	}
}

// Names holds the names of routes, zones and hardware types from the settings, each at the index of its ID, and the
// shortest interval between batches.
type Names struct {
	Routes, Zones, HardwareTypes []string
	Resolution                   logic.Millis
}

// DecodeConfig decodes the settings that a director starts with, given as a JSON object of their own.
func DecodeConfig(text json.RawMessage) (logic.Config, Names, error) {
	o := object{raw: map[string]json.RawMessage{"Facts": text}}
	f, names := decodeConfig(&o)
	return f, names, o.err
}

// decodeConfig decodes the Facts field of an object, which holds the settings of a start.
func decodeConfig(o *object) (logic.Config, Names) {
	var s settings
	var names Names
	v, ok := o.get("Facts", true)
	if !ok {
		return logic.Config{}, names
	}
	if err := json.Unmarshal(v, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			o.fail("Facts."+typeErr.Field, "not "+typeErr.Type.String())
		} else {
			o.fail("Facts", err.Error())
		}
		return logic.Config{}, names
	}
	ms := func(v float64) logic.Millis { return logic.Millis(v) }
	isSet := func(flags []bool, i int) bool { return i < len(flags) && flags[i] }
	p, r := s.Specifics, s.Rules
	f := logic.Config{Self: logic.DirectorID(s.Me), Directors: s.Balancers, Proxies: p.DataPlaneSize,
		Zone: logic.ZoneID(s.Zone), MayProbe: s.Bounds.MayProbe, MayMessagePeers: s.Bounds.Peers,
		HostListOnRequest: s.MembershipMode == "ask", HostListDeadline: ms(r.AskWithinMs), ColdCapacity: r.ColdFrom,
		ColdOverloadLimit: r.TipMultiple, WarmAfter: ms(r.WarmAfterMs), ColdFailAfter: ms(r.FallMs),
		DrainGrace: ms(r.DrainGraceMs), RejectedMayHaveRun: r.FullMayHaveRun, RemovalIsAdvisory: r.GoneIsAdvice,
		Weighted: s.Weights != "none" && s.Weights != "", Slices: p.Slices, SingleOwner: p.OneOwner,
		WarmKeys: p.WarmKeys, WriteLease: ms(p.WriteLeaseMs), WriteSettle: ms(p.InFlightMaxMs),
		EmptyTableLimit: ms(p.UnservedMaxMs), TableWait: ms(p.WaitsForTableMs), EjectAfterFailures: p.Ejects,
		DefaultRetryMode: p.RetryDefault, TryTimeout: p.PerTry, LinesPerSecond: p.EgressPerS,
		ReportLinesPerSecond: p.IntakePerS, QueueLimit: p.PendingMax, MessageOverhead: p.FixedCost,
		Transit: ms(p.PropagationMs), WorstTransit: ms(p.WorstTransitMs), MessageLimit: p.MessagesMost,
		MessageWindow: ms(p.UpdateWindowMs), ReportInterval: ms(p.PeriodMs),
		Levels: map[string]logic.LevelUnit{"ratio": logic.LevelShare, "rps": logic.LevelRate}[p.Admission],
		Pick:   map[string]logic.PickPolicy{"wheel": logic.PickRoundRobin, "pair": logic.PickTwoChoices}[p.SelectsBy]}
	if s.Report.Via != "none" {
		f.LoadColumns = s.Report.Columns
	}
	names.Zones, names.HardwareTypes, names.Resolution = s.Dcs, s.HostTypes, ms(s.ResolutionMs)
	for i, c := range s.Classes {
		names.Routes = append(names.Routes, c.Name)
		repeat, known := map[string]logic.Idempotency{"safe": logic.Idempotent, "keyed": logic.IdempotentByKey,
			"unsafe": logic.NonIdempotent}[c.Repeat]
		if !known {
			o.fail(fmt.Sprintf("Facts.Classes[%d].Repeat", i), fmt.Sprintf("unknown value %q", c.Repeat))
		}
		f.Routes = append(f.Routes, logic.Route{SLO: ms(c.TargetMs), TimeLimit: ms(c.DeadlineMs),
			DedupWindow: ms(c.MemorySpanMs), Importance: c.Worth, LateShare: c.LateShare, Idempotency: repeat,
			DedupScope: map[string]logic.DedupScope{"all": logic.DedupAll, "zone": logic.DedupZone,
				"cell": logic.DedupCell}[c.Group],
			OwnZone: isSet(p.ClassOwnZone, i), IsWrite: isSet(p.WriteClasses, i)})
	}
	return f, names
}
