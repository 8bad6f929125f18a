package loadshed

import (
	"math/rand/v2"
	"testing"
	"time"
)

// simulate sends the given numbers of requests per second of each kind for 20 s to a loop that handles capacity
// requests per second. It returns the admitted fraction of each kind and the longest wait, both in the last 5 s.
func simulate(load map[Kind]int, capacity float64) (admitted map[Kind]float64, maxWait time.Duration) {
	r := rand.New(rand.NewPCG(1, 2))
	s := NewShedder(r.Float64)
	queue, arrivals, admissions := 0.0, map[Kind]float64{}, map[Kind]float64{}
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		measuring := now > 15*time.Second
		for k := Watches; k < kindCount; k++ { // in a fixed order, for reproducible random numbers
			n := load[k]
			for x := float64(n) / 1000; r.Float64() < x; x-- {
				ok, _ := s.Admit(now, k, Queue{time.Duration(queue / capacity * float64(time.Second)), int(queue)})
				if ok {
					queue++
				}
				if measuring {
					arrivals[k]++
					if ok {
						admissions[k]++
					}
				}
			}
		}
		queue = max(0, queue-capacity/1000)
		waited := time.Duration(queue / capacity * float64(time.Second))
		if s.ObserveTurn(now, waited, int(queue)); measuring {
			maxWait = max(maxWait, waited)
		}
	}
	admitted = map[Kind]float64{}
	for k := range load {
		admitted[k] = admissions[k] / arrivals[k]
	}
	return admitted, maxWait
}

// The least important kinds are shed first, polls that acknowledge a version are always admitted, and almost nothing is
// shed below capacity.
func TestWhatIsShed(t *testing.T) {
	admitted, wait := simulate(map[Kind]int{Polls: 300, NewPolls: 300, Reports: 300}, 1200)
	if admitted[Polls] < 1 || admitted[NewPolls] < 0.98 || admitted[Reports] < 0.95 || wait > 20*time.Millisecond {
		t.Errorf("load below capacity: admitted %v, wait %v", admitted, wait)
	}
	admitted, wait = simulate(map[Kind]int{Polls: 300, NewPolls: 300, Reports: 900}, 1000)
	t.Logf("load of 1.5 times the capacity: admitted %v, wait %v", admitted, wait)
	if admitted[Polls] < 1 || admitted[NewPolls] < 0.8 || admitted[Reports] > 0.7 || admitted[Reports] < 0.2 ||
		wait > 150*time.Millisecond {
		t.Errorf("load of 1.5 times the capacity: admitted %v, wait %v", admitted, wait)
	}
	admitted, wait = simulate(map[Kind]int{Polls: 300, NewPolls: 9000, Reports: 900}, 1000)
	t.Logf("load of 10 times the capacity: admitted %v, wait %v", admitted, wait)
	if admitted[Polls] < 1 || admitted[Reports] > 0.05 || admitted[NewPolls] > 0.15 || wait > 300*time.Millisecond {
		t.Errorf("load of 10 times the capacity: admitted %v, wait %v", admitted, wait)
	}
}

// If other processes use the CPUs of the machine, turns of the loop start late although the queue is short. That is not
// overload, and no request is rejected.
func TestALateMachineIsNoOverload(t *testing.T) {
	s := NewShedder(rand.New(rand.NewPCG(5, 6)).Float64)
	for now := time.Duration(0); now < 10*time.Second; now += 60 * time.Millisecond {
		for n := range 30 {
			if admitted, _ := s.Admit(now, NewPolls, Queue{time.Duration(n) * 2 * time.Millisecond, n}); !admitted {
				t.Fatalf("request rejected at %v with a queue of %d", now, n)
			}
		}
		s.ObserveTurn(now, 60*time.Millisecond, 30)
	}
}

// A broken client is limited without an effect on others. The retries of a storm of requests are spread over seconds.
func TestClientsAndSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	s := NewShedder(r.Float64)
	limiter := NewClientLimiter(r.Float64, 100)
	brokenCount, otherCount := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if ok, _ := limiter.Admit(now, "broken"); ok {
			brokenCount++
		}
		if now%(250*time.Millisecond) == 0 {
			if ok, _ := limiter.Admit(now, "other"); ok {
				otherCount++
			}
		}
	}
	if brokenCount > 260 || otherCount != 40 {
		t.Errorf("admitted %d requests of the broken client, %d of the other one", brokenCount, otherCount)
	}
	s.pressure = float64(Polls)
	shortest, longest := time.Hour, time.Duration(0)
	for range 10000 {
		if ok, retryAfter := s.Admit(11*time.Second, NewPolls, Queue{}); !ok {
			shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
		}
	}
	if shortest < 400*time.Millisecond || longest < 5*time.Second || longest > 45*time.Second {
		t.Errorf("retries after %v to %v", shortest, longest)
	}
}
