"""Figures from recorded times: peaks, value rates and the time to full service."""

from __future__ import annotations

from cedarthread.testing.cluster.service_levels import (
    ServedValue,
    peak_count,
    time_to_full_service,
    value_rates,
)


def test_recorded_times_give_peaks_value_rates_and_the_time_to_full_service() -> None:
    assert peak_count([0.0, 100.0, 200.0, 249.0, 260.0, 900.0]) == 4
    assert peak_count([]) == 0
    served = [ServedValue(100.0 * number, 2.0) for number in range(200) if not 50 <= number < 80]
    rates = value_rates(served, 20_000.0)
    assert (rates[0], rates[20], len(rates)) == (20.0, 0.0, 77)
    # Calls are served again from 8 s on: the first complete window ends at 9 s, 3.5 s after the last crash.
    assert time_to_full_service(rates, 5.5, undisturbed_rate=20.0) == 3.5
    assert time_to_full_service(rates, 5.5, undisturbed_rate=22.0) is None
    assert time_to_full_service(rates[:60], 5.5, undisturbed_rate=20.0, stable_s=9.0) is None, (
        "full service must last for ``stable_s``"
    )
