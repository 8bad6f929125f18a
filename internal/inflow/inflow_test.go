package inflow

import (
	"math/rand/v2"
	"testing"
	"time"
)

// served lets so many requests a second of each kind come to a loop that handles so many, for a while, and gives what part of
// each kind came in at the end, and the longest wait then.
func simulate(load map[Kind]int, able float64) (part map[Kind]float64, wait time.Duration) {
	r := rand.New(rand.NewPCG(1, 2))
	d := NewShedder(r.Float64)
	queue, came, in := 0.0, map[Kind]float64{}, map[Kind]float64{}
	for now := time.Duration(0); now < 20*time.Second; now += time.Millisecond {
		last := now > 15*time.Second
		for k := Watches; k < kindCount; k++ { // in an order, so that chance falls the same each time
			n := load[k]
			for x := float64(n) / 1000; r.Float64() < x; x-- {
				ok, _ := d.Admit(now, k, Queue{time.Duration(queue / able * float64(time.Second)), int(queue)})
				if ok {
					queue++
				}
				if last {
					came[k]++
					if ok {
						in[k]++
					}
				}
			}
		}
		queue = max(0, queue-able/1000)
		waited := time.Duration(queue / able * float64(time.Second))
		if d.ObserveTurn(now, waited, int(queue)); last {
			wait = max(wait, waited)
		}
	}
	part = map[Kind]float64{}
	for k := range load {
		part[k] = in[k] / came[k]
	}
	return part, wait
}

// What is needed least goes first, what acknowledges always comes in, and nothing is shed where there is room.
func TestWhatIsShed(t *testing.T) {
	part, wait := simulate(map[Kind]int{Polls: 300, NewPolls: 300, Reports: 300}, 1200)
	if part[Polls] < 1 || part[NewPolls] < 0.98 || part[Reports] < 0.95 || wait > 20*time.Millisecond {
		t.Errorf("with room: %v, %v", part, wait)
	}
	part, wait = simulate(map[Kind]int{Polls: 300, NewPolls: 300, Reports: 900}, 1000)
	t.Logf("half as much again: %v, wait %v", part, wait)
	if part[Polls] < 1 || part[NewPolls] < 0.8 || part[Reports] > 0.7 || part[Reports] < 0.2 || wait > 150*time.Millisecond {
		t.Errorf("half as much again as it can: %v, %v", part, wait)
	}
	part, wait = simulate(map[Kind]int{Polls: 300, NewPolls: 9000, Reports: 900}, 1000)
	t.Logf("ten times: %v, wait %v", part, wait)
	if part[Polls] < 1 || part[Reports] > 0.05 || part[NewPolls] > 0.15 || wait > 300*time.Millisecond {
		t.Errorf("ten times: %v, %v", part, wait)
	}
}

// A machine whose processors others take: the loop comes to its turn late, with little to do. Nobody is sent away for it.
func TestALateMachineIsNoOverload(t *testing.T) {
	d := NewShedder(rand.New(rand.NewPCG(5, 6)).Float64)
	for now := time.Duration(0); now < 10*time.Second; now += 60 * time.Millisecond {
		for n := range 30 {
			if in, _ := d.Admit(now, NewPolls, Queue{time.Duration(n) * 2 * time.Millisecond, n}); !in {
				t.Fatalf("sent away at %v with %d that wait", now, n)
			}
		}
		d.ObserveTurn(now, 60*time.Millisecond, 30)
	}
}

// One broken client is limited, and no other feels it; a storm is called back spread over seconds.
func TestClientsAndSpread(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 4))
	d := NewShedder(r.Float64)
	a := NewClientLimiter(r.Float64, 100)
	broken, others := 0, 0
	for now := time.Duration(0); now < 10*time.Second; now += time.Millisecond {
		if ok, _ := a.Admit(now, "broken"); ok {
			broken++
		}
		if now%(250*time.Millisecond) == 0 {
			if ok, _ := a.Admit(now, "other"); ok {
				others++
			}
		}
	}
	if broken > 260 || others != 40 {
		t.Errorf("broken %d, other %d", broken, others)
	}
	d.pressure = float64(Polls)
	least, most := time.Hour, time.Duration(0)
	for range 10000 {
		if ok, later := d.Admit(11*time.Second, NewPolls, Queue{}); !ok {
			least, most = min(least, later), max(most, later)
		}
	}
	if least < 400*time.Millisecond || most < 5*time.Second || most > 45*time.Second {
		t.Errorf("called back between %v and %v", least, most)
	}
}
