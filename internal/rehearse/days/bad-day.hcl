# Most of what has been met, one after the other and on top of each other.
day {
  length   = "62s"
  director = "director.hcl"

  fleet {
    hosts      = 14
    cores      = 4
    queue      = 24
    per_cell   = 2
    proxies    = 12
    list_delay = "700ms"
  }
  load {
    calls_per_second = 100
    peak             = 145
    rise_over        = "8s"
    keys             = 3000
  }
  route "formula-read" {
    share = 0.72
    work  = "220ms"
  }
  route "batch-note" {
    share = 0.28
    work  = "220ms"
  }

  trouble "die" {
    at    = "8s"
    hosts = 2
    last  = "9s"
  }
  trouble "silent" {
    at    = "16s"
    hosts = 1
    last  = "10s"
  }
  trouble "stale_proxies" {
    at      = "18s"
    proxies = 2
    last    = "9s"
  }
  trouble "deploy" {
    at    = "21s"
    hosts = 6
    batch = 2
    drain = "3s"
  }
  trouble "kill_director" {
    at   = "28s"
    last = "1500ms"
  }
  trouble "list_wrong" {
    at    = "36s"
    hosts = 2
    last  = "5s"
  }
  trouble "restart_proxies" {
    at      = "43s"
    proxies = 6
    last    = "1s"
  }
  trouble "hang" {
    at    = "47s"
    hosts = 1
    last  = "6s"
  }
  trouble "kill_director" {
    at   = "53s"
    last = "1s"
  }
}
