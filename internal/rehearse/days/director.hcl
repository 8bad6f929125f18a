# The director of the rehearsals. What stands in double braces is filled in when a day is raised.
director "{{.Name}}" {
  listen = "{{.Listen}}"
  admin  = "{{.Admin}}"
  store  = "{{.Store}}"
  zone   = "plateau"
}

service {
  zones     = ["plateau", "yoff", "rufisque"]
  pick      = "lottery"
  slices    = 64
  warm_keys = true
  levels    = "share"

  route "formula-read" {
    repeat     = "repeatable"
    importance = 1
    slo        = "1.2s"
    time_limit = "3s"
    late_share = 0.2
  }
  route "batch-note" {
    repeat     = "keyed"
    reach      = "cell"
    span       = "4s"
    writes     = true
    importance = 3
    slo        = "1.2s"
    time_limit = "4s"
    late_share = 0.1
  }
}

hosts {
  cold_from    = 0.2
  warm_after   = "12s"
  tip_multiple = 3
  fall_after   = "1.5s"
  drain_grace  = "2.5s"
  load         = ["busy", "rate"]
  probe {
    path    = "/health"
    timeout = "250ms"
  }
}

proxies {
  most            = {{.Proxies}}
  names           = "relay-[0-9]+"
  lease           = "3s"
  bare_limit      = "2.3s"
  ejects_after    = 8
  waits_for_table = "500ms"
}

channel {
  lines_per_second = {{.Lines}}
  queue_lines      = {{.Lines}}
  head_lines       = 16
  transit          = "20ms"
  worst_transit    = "250ms"
  messages         = 40
  message_span     = "10s"
}

reports {
  every            = "500ms"
  lines_per_second = 300
}

{{.Custody}}
{{.MQTT}}
roster {
  consul  = "{{.Roster}}"
  service = "hosts"
  wait    = "20s"
}
