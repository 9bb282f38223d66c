experiment {
  title  = "A day of operators' work: upgrades, drains, a retune, a crowd at the door, clients in pieces"
  mode   = "sockets"
  length = "40s"
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
  standing = 300
  fill     = "6s"
  rate     = 12
  life     = "30s"
  groups   = 60
  spread   = 0.5
}

fault "upgrade" {
  at   = "8s"
  for  = "6s"
  part = "100%"
}
fault "retune" {
  at  = "10s"
  for = "8s"
}
fault "balancer-drain" {
  at   = "16s"
  for  = "6s"
  part = "67%"
}
fault "pieces" {
  at  = "20s"
  for = "15s"
}
fault "crowd" {
  at   = "28s"
  for  = "8s"
  rate = 300
}
fault "upgrade" {
  at   = "33s"
  for  = "2s"
  part = "67%"
}
