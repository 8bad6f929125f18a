// Command drill hosts many instances of the decisions on the simulator's wire: batches on standard input, a
// reply a line on standard output. Instances share nothing.
package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"

	"vetchwood/internal/wire"
	"vetchwood/logic"
)

// turn is what one instance is to hear in the batch at hand.
type delivery struct {
	id     logic.DirectorID
	events []any
}

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "drill:", err)
		os.Exit(1)
	}
}

func run(in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<20)
	to := bufio.NewWriterSize(out, 1<<16)
	var dec wire.Decoder
	var reply wire.Reply
	live := map[logic.DirectorID]*logic.Director{}
	for number := 1; ; number++ {
		text, err := lines.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		batch, err := dec.Decode(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply.Reset()
		if err := handleBatch(live, batch, &reply); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := to.Write(reply.Line()); err != nil {
			return err
		}
		if err := to.Flush(); err != nil {
			return err
		}
	}
}

// play hands each instance its notes in their order. A start or a death in mid-batch ends what came before.
func handleBatch(live map[logic.DirectorID]*logic.Director, b wire.Batch, reply *wire.Reply) error {
	var turns []delivery
	at := map[logic.DirectorID]int{}
	for i, e := range b.Events {
		n, known := at[e.Director]
		switch {
		case e.Start != nil || e.Killed:
			if e.Killed && live[e.Director] == nil {
				return fmt.Errorf("event %d: field Director: %d never began", i, e.Director)
			}
			if known {
				turns[n].events = nil
			}
			delete(live, e.Director)
			if e.Start == nil {
				continue
			}
			made, failed := start(e.Start)
			if failed != "" {
				reply.AddFailure(e.Director, failed)
				continue
			}
			live[e.Director] = made
		case live[e.Director] == nil:
			return fmt.Errorf("event %d: field Director: %d never began", i, e.Director)
		}
		if !known {
			n = len(turns)
			at[e.Director] = n
			turns = append(turns, delivery{id: e.Director})
		}
		if e.Payload != nil {
			turns[n].events = append(turns[n].events, e.Payload)
		}
	}
	for _, t := range turns {
		if d := live[t.id]; d != nil {
			handleDelivery(d, t, b.Clock, reply)
		}
	}
	return nil
}

func start(b *wire.Start) (d *logic.Director, failed string) {
	defer func() {
		if r := recover(); r != nil {
			failed = fmt.Sprint(r)
		}
	}()
	return logic.New(b.Seed, b.Facts), ""
}

func handleDelivery(d *logic.Director, t delivery, now logic.Millis, reply *wire.Reply) {
	defer func() {
		if r := recover(); r != nil {
			reply.AddFailure(t.id, fmt.Sprint(r))
		}
	}()
	for _, o := range d.Handle(now, t.events) {
		reply.Add(t.id, o)
	}
}
