package platform

import (
	"container/heap"

	"vetchwood/logic"
)

// timers is a queue of the module's timers, ordered by due time.
type timers struct{ all timerHeap }

type timer struct {
	at logic.Millis
	id logic.TimerID
}

// timerHeap implements heap.Interface, with the earliest timer first.
type timerHeap []timer

func (h timerHeap) Len() int           { return len(h) }
func (h timerHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h timerHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timerHeap) Push(x any)        { *h = append(*h, x.(timer)) }
func (h *timerHeap) Pop() any {
	all := *h
	last := all[len(all)-1]
	*h = all[:len(all)-1]
	return last
}

func (t *timers) add(at logic.Millis, id logic.TimerID) { heap.Push(&t.all, timer{at, id}) }

// next returns the due time of the earliest timer, if there is one.
func (t *timers) next() (logic.Millis, bool) {
	if len(t.all) == 0 {
		return 0, false
	}
	return t.all[0].at, true
}

// due removes and returns the timers that are due.
func (t *timers) due(now logic.Millis) (out []logic.TimerID) {
	for len(t.all) > 0 && t.all[0].at <= now {
		out = append(out, heap.Pop(&t.all).(timer).id)
	}
	return out
}
