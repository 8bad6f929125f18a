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

// Names holds the names of routes, zones and host kinds from the settings, each at the index of its ID, and the
// shortest interval between batches.
type Names struct {
	Routes, Zones, Kinds []string
	Resolution           logic.Millis
}

// DecodeFacts decodes the settings that a director starts with, given as a JSON object of their own.
func DecodeFacts(text json.RawMessage) (logic.Facts, Names, error) {
	o := object{raw: map[string]json.RawMessage{"Facts": text}}
	f, names := decodeFacts(&o)
	return f, names, o.err
}

// decodeFacts decodes the Facts field of an object.
func decodeFacts(o *object) (logic.Facts, Names) {
	var s settings
	var names Names
	v, ok := o.get("Facts", true)
	if !ok {
		return logic.Facts{}, names
	}
	if err := json.Unmarshal(v, &s); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) {
			o.fail("Facts."+typeErr.Field, "not "+typeErr.Type.String())
		} else {
			o.fail("Facts", err.Error())
		}
		return logic.Facts{}, names
	}
	ms := func(v float64) logic.Millis { return logic.Millis(v) }
	isSet := func(flags []bool, i int) bool { return i < len(flags) && flags[i] }
	p, r := s.Specifics, s.Rules
	f := logic.Facts{Me: logic.DirectorID(s.Me), Directors: s.Balancers, Proxies: p.DataPlaneSize,
		Zone: logic.ZoneID(s.Zone), MayProbe: s.Bounds.MayProbe, MayTell: s.Bounds.Peers,
		AsksForList: s.MembershipMode == "ask", AskWithin: ms(r.AskWithinMs), ColdFrom: r.ColdFrom,
		TipMultiple: r.TipMultiple, WarmAfter: ms(r.WarmAfterMs), FallAfter: ms(r.FallMs),
		DrainGrace: ms(r.DrainGraceMs), FullMayHaveRun: r.FullMayHaveRun, GoneIsAdvice: r.GoneIsAdvice,
		Weighted: s.Weights != "none" && s.Weights != "", Slices: p.Slices, OneOwner: p.OneOwner,
		WarmKeys: p.WarmKeys, WriteLease: ms(p.WriteLeaseMs), WriteSettle: ms(p.InFlightMaxMs),
		BareLimit: ms(p.UnservedMaxMs), WaitsForTable: ms(p.WaitsForTableMs), EjectsAfter: p.Ejects,
		TriesUnlessTold: p.RetryDefault, TryWait: p.PerTry, LinesPerSecond: p.EgressPerS,
		IntakePerSecond: p.IntakePerS, QueueLimit: p.PendingMax, HeadLines: p.FixedCost,
		Transit: ms(p.PropagationMs), WorstTransit: ms(p.WorstTransitMs), MessageLimit: p.MessagesMost,
		MessageSpan: ms(p.UpdateWindowMs), ReportEvery: ms(p.PeriodMs),
		Levels: map[string]logic.Valve{"ratio": logic.LevelShare, "rps": logic.LevelRate}[p.Admission],
		Pick:   map[string]logic.Pick{"wheel": logic.PickWheel, "pair": logic.PickPair}[p.SelectsBy]}
	if s.Report.Via != "none" {
		f.LoadColumns = s.Report.Columns
	}
	names.Zones, names.Kinds, names.Resolution = s.Dcs, s.HostTypes, ms(s.ResolutionMs)
	for i, c := range s.Classes {
		names.Routes = append(names.Routes, c.Name)
		repeat, known := map[string]logic.Repeat{"safe": logic.Repeatable, "keyed": logic.Keyed,
			"unsafe": logic.Mutating}[c.Repeat]
		if !known {
			o.fail(fmt.Sprintf("Facts.Classes[%d].Repeat", i), fmt.Sprintf("unknown value %q", c.Repeat))
		}
		f.Routes = append(f.Routes, logic.Route{SLO: ms(c.TargetMs), TimeLimit: ms(c.DeadlineMs),
			RepeatSpan: ms(c.MemorySpanMs), Importance: c.Worth, LateShare: c.LateShare, Repeat: repeat,
			Reach: map[string]logic.Reach{"all": logic.ReachAll, "zone": logic.ReachZone,
				"cell": logic.ReachCell}[c.Group],
			OwnZone: isSet(p.ClassOwnZone, i), Writes: isSet(p.WriteClasses, i)})
	}
	return f, names
}
