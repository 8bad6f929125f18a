// Command drill runs many independent instances of the decision module for the simulator. It reads one batch per line
// from standard input and writes one reply per line to standard output.
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

// delivery holds the events of one batch for one instance.
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

// run processes batches until the end of the input or the first error.
func run(in io.Reader, out io.Writer) error {
	reader := bufio.NewReaderSize(in, 1<<20)
	writer := bufio.NewWriterSize(out, 1<<16)
	var decoder wire.Decoder
	var reply wire.Reply
	live := map[logic.DirectorID]*logic.Director{}
	for number := 1; ; number++ {
		text, err := reader.ReadBytes('\n')
		if len(bytes.TrimSpace(text)) == 0 && errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return fmt.Errorf("line %d: %w", number, err)
		}
		batch, err := decoder.Decode(text)
		if err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		reply.Reset()
		if err := handleBatch(live, batch, &reply); err != nil {
			return fmt.Errorf("line %d: %w", number, err)
		}
		if _, err := writer.Write(reply.Line()); err != nil {
			return err
		}
		if err := writer.Flush(); err != nil {
			return err
		}
	}
}

// handleBatch delivers to each instance its events of the batch, in their order. If an instance is started or killed
// within the batch, its events before that are discarded.
func handleBatch(live map[logic.DirectorID]*logic.Director, b wire.Batch, reply *wire.Reply) error {
	var deliveries []delivery
	indexOf := map[logic.DirectorID]int{}
	for i, e := range b.Events {
		n, known := indexOf[e.Director]
		switch {
		case e.Start != nil || e.Killed:
			if e.Killed && live[e.Director] == nil {
				return fmt.Errorf("event %d: field Director: %d is not running", i, e.Director)
			}
			if known {
				deliveries[n].events = nil
			}
			delete(live, e.Director)
			if e.Start == nil {
				continue
			}
			instance, failed := start(e.Start)
			if failed != "" {
				reply.AddFailure(e.Director, failed)
				continue
			}
			live[e.Director] = instance
		case live[e.Director] == nil:
			return fmt.Errorf("event %d: field Director: %d is not running", i, e.Director)
		}
		if !known {
			n = len(deliveries)
			indexOf[e.Director] = n
			deliveries = append(deliveries, delivery{id: e.Director})
		}
		if e.Payload != nil {
			deliveries[n].events = append(deliveries[n].events, e.Payload)
		}
	}
	for _, t := range deliveries {
		if d := live[t.id]; d != nil {
			handleDelivery(d, t, b.Clock, reply)
		}
	}
	return nil
}

// start creates an instance. If the decision module panics, failed is the reason.
func start(s *wire.Start) (d *logic.Director, failed string) {
	defer func() {
		if r := recover(); r != nil {
			failed = fmt.Sprint(r)
		}
	}()
	return logic.New(s.Seed, s.Config), ""
}

// handleDelivery passes the events to the instance and adds its orders to the reply, or a failure if it panics.
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
