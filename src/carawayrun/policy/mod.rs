//! Pure decisions: plans, quality, roll-outs and choice of upstream.
