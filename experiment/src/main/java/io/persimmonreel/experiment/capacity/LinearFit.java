package io.persimmonreel.experiment.capacity;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** Fits a line to measured points by least squares and extrapolates it. Not thread safe. */
final class LinearFit {
    private final String mMeasuredName;
    private final String mInput;
    private final String mUnit;
    private final List<Point> mPoints = new ArrayList<>();

    private record Point(double x, double y) {}

    /**
     * Creates a fit without points.
     *
     * @param name what is measured
     * @param input the quantity that it depends on
     * @param unit the unit of the measured values
     */
    LinearFit(final String name, final String input, final String unit) {
        mMeasuredName = name;
        mInput = input;
        mUnit = unit;
    }

    void add(final double x, final double y) {
        mPoints.add(new Point(x, y));
    }

    /** Returns the slope of the line, 0 if the points do not determine it. */
    double slope() {
        final double meanX = mPoints.stream().mapToDouble(Point::x).average().orElse(0);
        final double meanY = mPoints.stream().mapToDouble(Point::y).average().orElse(0);
        double covariance = 0;
        double variance = 0;
        for (final Point point : mPoints) {
            covariance += (point.x() - meanX) * (point.y() - meanY);
            variance += (point.x() - meanX) * (point.x() - meanX);
        }
        return variance == 0 ? 0 : covariance / variance;
    }

    /** Returns the value of the line at an input. */
    double valueAt(final double x) {
        final double meanX = mPoints.stream().mapToDouble(Point::x).average().orElse(0);
        final double meanY = mPoints.stream().mapToDouble(Point::y).average().orElse(0);
        return meanY + slope() * (x - meanX);
    }

    /** Prints the points, the slope and the value extrapolated to an input. */
    void print(final PrintStream out, final double designSize) {
        out.printf(Locale.ROOT, "%s by %s%n", mMeasuredName, mInput);
        for (final Point point : mPoints) {
            out.printf(Locale.ROOT, "  %10.0f  %12.3f %s%n", point.x(), point.y(), mUnit);
        }
        out.printf(
                Locale.ROOT,
                "  slope %.6f %s each; at %.0f: %.3f %s%n",
                slope(),
                mUnit,
                designSize,
                valueAt(designSize),
                mUnit);
    }
}
