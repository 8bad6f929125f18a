# What CI plays: a death, a drain and a kill of the director, in a quarter of a minute.
day {
  length   = "16s"
  director = "director.hcl"

  fleet {
    hosts      = 8
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 6
    list_delay = "300ms"
  }
  load {
    calls_per_second = 50
    peak             = 60
    rise_over        = "2s"
    keys             = 500
  }
  route "formula-read" {
    share = 0.72
    work  = "150ms"
  }
  route "batch-note" {
    share = 0.28
    work  = "150ms"
  }

  trouble "die" {
    at    = "2s"
    hosts = 1
    last  = "4s"
  }
  trouble "deploy" {
    at    = "4s"
    hosts = 2
    batch = 1
    drain = "2500ms"
  }
  trouble "kill_director" {
    at   = "7s"
    last = "500ms"
  }
  trouble "restart_proxies" {
    at      = "11s"
    proxies = 3
    last    = "500ms"
  }
}
