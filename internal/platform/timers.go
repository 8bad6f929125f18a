package platform

import (
	"container/heap"

	"vetchwood/logic"
)

// timers are the module's, the next one first.
type timers struct{ all timerHeap }

type timer struct {
	at logic.Millis
	id logic.TimerID
}

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

func (t *timers) next() (logic.Millis, bool) {
	if len(t.all) == 0 {
		return 0, false
	}
	return t.all[0].at, true
}

func (t *timers) due(now logic.Millis) (out []logic.TimerID) {
	for len(t.all) > 0 && t.all[0].at <= now {
		out = append(out, heap.Pop(&t.all).(timer).id)
	}
	return out
}
