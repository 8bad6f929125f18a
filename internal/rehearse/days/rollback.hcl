# A hundred proxies go back to the tables of the day's start, while hosts die and the director is killed.
day {
  length   = "40s"
  director = "director.hcl"

  fleet {
    hosts      = 16
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 100
    list_delay = "500ms"
  }
  load {
    calls_per_second = 60
    peak             = 90
    rise_over        = "4s"
    keys             = 3000
  }
  route "formula-read" {
    share = 0.72
    work  = "150ms"
  }
  route "batch-note" {
    share = 0.28
    work  = "150ms"
  }

  trouble "deploy" {
    at    = "3s"
    hosts = 4
    batch = 2
    drain = "3s"
  }
  trouble "rollback" {
    at = "12s"
  }
  trouble "die" {
    at    = "15s"
    hosts = 2
    last  = "6s"
  }
  trouble "kill_director" {
    at   = "18s"
    last = "1s"
  }
  trouble "release" {
    at = "26s"
  }
  trouble "rollback" {
    at = "32s"
  }
}
