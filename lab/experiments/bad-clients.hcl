experiment {
  title  = "Bad clients beside the usual ones"
  mode   = "sockets"
  length = "30s"
  seeds  = [1, 2, 3]
}

world {
  balancers    = 3
  zones        = 2
  outer_limit  = "1800ms"
  setup_goal   = "300ms"
  message_goal = "250ms"
  message_each = "1s"
  group_cost   = 0.5
  sheds        = "2s"
  notice       = ["200ms", "1s"]

  warmup {
    from     = "20%"
    for      = "15s"
    multiple = 3
    within   = "1500ms"
  }
  store {
    rate = 200
    time = "5ms"
    wait = "1s"
  }
  server "fast" {
    count = 4
    cores = 3
    speed = 1.8
    fills = 25
  }
  server "mid" {
    count = 4
    cores = 3
    speed = 1.2
    fills = 25
  }
  server "slow" {
    count = 4
    cores = 3
    speed = 0.8
    fills = 25
  }
}

load {
  standing = 360
  fill     = "6s"
  rate     = 12
  life     = "30s"
  groups   = 60
  spread   = 0.5
}

fault "bad-clients" {
  at   = "8s"
  for  = "16s"
  rate = 40
}
