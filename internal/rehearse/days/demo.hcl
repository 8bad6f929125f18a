# Stays up until a signal, lightly loaded, for a look around with an ordinary HTTP client.
day {
  length   = "0s"
  director = "director.hcl"
  listen   = "127.0.0.1:8480"
  admin    = "127.0.0.1:8481"

  fleet {
    hosts      = 6
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 3
    list_delay = "500ms"
  }
  load {
    calls_per_second = 20
    peak             = 20
    rise_over        = "1s"
    keys             = 200
  }
  route "formula-read" {
    share = 0.72
    work  = "120ms"
  }
  route "batch-note" {
    share = 0.28
    work  = "120ms"
  }
}
